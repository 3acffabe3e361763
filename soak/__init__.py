"""Randomized soak test: injects faults into real daemons and checks guarantees.

`python -m soak run --seeds 50` runs fifty seeds; a seed determines the faults
and their times, independent of the machine.
"""
