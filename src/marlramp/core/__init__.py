"""Decision logic without I/O, which depends on messages and the time alone."""
