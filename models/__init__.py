"""Formal models of the core protocols and a model checker."""
