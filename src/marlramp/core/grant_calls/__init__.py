"""Calls of the grants path, on which agents permit single requests."""
