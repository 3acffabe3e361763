"""Marlramp distributes model weights and routes live requests during bursts."""

__version__ = "0.1.0"
