"""Timeouts, retries and fingerprints of requests, and the events of streams."""
