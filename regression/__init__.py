"""Regression benchmarks run before each landing, with their thresholds."""
