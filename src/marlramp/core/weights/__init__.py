"""Distribution of weights, and the change of an engine's version."""
