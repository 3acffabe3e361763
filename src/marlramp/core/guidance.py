"""Which entries tell an agent what it needs to know."""

from __future__ import annotations

from collections.abc import Iterable

from marlramp.core import members
from marlramp.core import rendezvous

NEAR_GUIDES = 2
FAR_GUIDES = 1
"""Entries that guide one agent: one more than is needed in its own region, so
that the death of one delays nothing, and one elsewhere, in case the region is
cut off from the store. If all entries guided all agents, a change would cost
their product in messages."""


def guides_of(
    agent: members.Member,
    entries: Iterable[members.Member],
    near: Iterable[str],
) -> set[str]:
    """Returns the entries that guide an agent.

    Entries that hear the same others come to the same answer.

    Args:
      agent: the agent.
      entries: all entries that are heard.
      near: data centres of the agent's region.
    """
    near_names: list[str] = []
    far_names: list[str] = []
    for entry in entries:
        is_near = entry.data_centre in near
        (near_names if is_near else far_names).append(entry.vm_id)
    key = f"guide\0{agent.vm_id}"
    chosen = rendezvous.subset(key, near_names, NEAR_GUIDES)
    missing = NEAR_GUIDES - len(chosen)
    far = rendezvous.subset(key, far_names, FAR_GUIDES + missing)
    return {*chosen, *far}
