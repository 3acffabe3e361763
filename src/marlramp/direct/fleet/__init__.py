"""Exchange of state between processes, and reading of the store."""
