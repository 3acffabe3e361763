"""Serves requests on the direct path: admission, routing, sends, answers."""
