"""Which pieces an entry holds for the agents near it, and where from.

Load pattern: a version is named and all agents of a region lack all of its
pieces at the same moment. Links of engines' VMs are narrow and carry the events
of live answers too; links of entries are wide. So each piece has one entry in
each cell that holds it for the cell's agents. The first of those entries in the
whole fleet draws it from the origin, the first of each other region takes it
from there, and the others from the first of their region: one copy leaves the
origin, one crosses into each region, and an entry holds a part of a version.

Every entry computes the same from the members it knows. Where views differ for
a while a piece is held twice, or drawn by the next in order after a wait.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from marlramp.core import rendezvous


class Place(msgspec.Struct, frozen=True):
    """Where an entry is.

    Attributes:
      region: its region.
      cell: name of its cell.
    """

    region: str
    cell: str


class Duty(msgspec.Struct, frozen=True):
    """A piece that an entry holds for others.

    Attributes:
      rank: entries that are to draw it from the origin before this one.
      near: the entry of the own region to ask first, None if that is this one.
      far: entries of other regions that hold it, the first to ask in front.
    """

    rank: int
    near: str | None
    far: tuple[str, ...]

    @property
    def sources(self) -> tuple[str, ...]:
        """All entries to ask."""
        return self.far if self.near is None else (self.near, *self.far)


def duties(
    own: str, places: Mapping[str, Place], keys: Sequence[str]
) -> dict[int, Duty]:
    """Returns the pieces that an entry is to hold.

    Args:
      own: the entry; it is among `places`.
      places: place of each entry that takes part.
      keys: digest of each piece.
    """
    cell = places[own].cell
    mates = [name for name, place in places.items() if place.cell == cell]
    found = {}
    for index, key in enumerate(keys):
        if rendezvous.order(key, mates)[0] == own:
            found[index] = _duty(own, places, key)
    return found


def _duty(own: str, places: Mapping[str, Place], key: str) -> Duty:
    """Returns the duty of an entry that holds a piece for its cell."""
    first_of_region: dict[str, str] = {}
    first_of_cell: dict[str, str] = {}
    for name in rendezvous.order(key, places):
        place = places[name]
        first_of_region.setdefault(place.region, name)
        first_of_cell.setdefault(place.cell, name)
    firsts = list(first_of_region.values())
    near = first_of_region[places[own].region]
    drawers = dict.fromkeys([*firsts, *first_of_cell.values()])
    return Duty(
        rank=list(drawers).index(own),
        near=None if near == own else near,
        far=tuple(name for name in firsts if name != near),
    )
