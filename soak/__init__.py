"""Randomized fault soak: real daemons, faults from outside, promises checked.

`python -m soak run --seeds 50` plays fifty seeds; a seed gives the same
faults at the same times on every machine.
"""
