"""Cases of the independent review."""
