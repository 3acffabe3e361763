"""Members of the fleet, and which of them does which work."""
