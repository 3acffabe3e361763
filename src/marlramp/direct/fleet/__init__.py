"""What processes tell one another and read from the store."""
