"""The plays that any landing repeats, and the figures that they hold."""
