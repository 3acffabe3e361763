"""Measurements on real processes, and replays in virtual time."""
