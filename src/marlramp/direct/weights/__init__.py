"""Weights on their way: digests, pieces, loads."""
