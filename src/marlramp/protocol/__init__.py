"""Messages that entries and agents exchange, and their encoding."""
