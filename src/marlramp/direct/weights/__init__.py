"""Distribution of weights: digests, transfer of pieces, engine loads."""
