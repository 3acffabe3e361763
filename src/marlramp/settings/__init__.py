"""Settings of the fleet and of individual processes."""
