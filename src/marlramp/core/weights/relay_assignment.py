"""Assigns the pieces of a version to entries, which relay them to agents.

Load pattern: when a version is announced, all agents of a region lack all of
its pieces at once. The links of engines' VMs are narrow and also carry the
events of live answers; the links of entries are wide. Therefore one entry of
each cell holds each piece for the agents of the cell. The first of these
entries in the rendezvous order of the whole fleet fetches the piece from the
origin, the first of each other region fetches it from that entry, and the
remaining entries fetch it from the first of their region. One copy leaves the
origin, one copy crosses into each region, and each entry holds only a part of a
version.

Entries that know the same members compute the same assignments. While their
views differ, a piece may be held twice, or the next entry in the order fetches
it from the origin after a wait.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from marlramp.core import rendezvous


class Location(msgspec.Struct, frozen=True):
    """Location of an entry.

    Attributes:
      region: region of the entry.
      cell: name of the entry's cell.
    """

    region: str
    cell: str


class Assignment(msgspec.Struct, frozen=True):
    """Assignment of one piece to an entry, and the sources of the piece.

    Attributes:
      rank: number of entries that precede this one in fetching the piece from
        the origin.
      near: entry of the own region to request the piece from first, None if
        that is this entry.
      far: entries of other regions that hold the piece, in the order in which
        to request it from them.
    """

    rank: int
    near: str | None
    far: tuple[str, ...]

    @property
    def sources(self) -> tuple[str, ...]:
        """All entries that the piece can be requested from, in order."""
        return self.far if self.near is None else (self.near, *self.far)


def assignments(
    own: str, locations: Mapping[str, Location], keys: Sequence[str]
) -> dict[int, Assignment]:
    """Returns the assignments of an entry, by the index of the piece.

    Args:
      own: the entry; must be a key of `locations`.
      locations: location of each entry that relays pieces.
      keys: digest of each piece, in the order of the pieces.
    """
    cell = locations[own].cell
    cell_members = [
        name for name, location in locations.items() if location.cell == cell
    ]
    found = {}
    for index, key in enumerate(keys):
        if rendezvous.order(key, cell_members)[0] == own:
            found[index] = _assignment(own, locations, key)
    return found


def _assignment(
    own: str, locations: Mapping[str, Location], key: str
) -> Assignment:
    """Returns the assignment of an entry that holds a piece for its cell."""
    first_of_region: dict[str, str] = {}
    first_of_cell: dict[str, str] = {}
    for name in rendezvous.order(key, locations):
        location = locations[name]
        first_of_region.setdefault(location.region, name)
        first_of_cell.setdefault(location.cell, name)
    firsts = list(first_of_region.values())
    near = first_of_region[locations[own].region]
    fetchers = dict.fromkeys([*firsts, *first_of_cell.values()])
    return Assignment(
        rank=list(fetchers).index(own),
        near=None if near == own else near,
        far=tuple(name for name in firsts if name != near),
    )
