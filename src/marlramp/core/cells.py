"""Division of entries and engines into cells.

The entries of a region are divided into equal cells, and each engine belongs
to one cell of its region. Entries of one cell choose among its engines first
and tell one another what they have under way there, so that whoever shares an
engine also knows of the others. What each entry tells and hears then depends
on the size of a cell, not on that of the fleet.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from marlramp.core import members
from marlramp.core import rendezvous

CELL_MAX = 16
"""Entries of a cell: each of them costs every other 2 kB/s while an entry
takes a hundred requests a second."""


class Cell(msgspec.Struct, frozen=True):
    """Entries that share engines.

    Attributes:
      name: the same at every entry that knows the same members.
      region: its region.
      entries: VMs of its entries, in an order that every entry computes alike.
      agents: VMs of the agents beside its engines.
    """

    name: str
    region: str
    entries: tuple[str, ...]
    agents: tuple[str, ...] = ()


class Cells:
    """All cells, as one entry computes them from the members it knows."""

    def __init__(
        self,
        entries: Iterable[members.Member],
        agents: Iterable[members.Member],
        regions: Mapping[str, str],
    ) -> None:
        """Divides the members.

        Args:
          entries: entries that take part.
          agents: agents that take part.
          regions: region of each data centre.
        """
        cells = _divide(_by_region(entries, regions))
        self.all = _assign(cells, _by_region(agents, regions))
        self._of_entry = {
            vm_id: cell for cell in self.all for vm_id in cell.entries
        }
        self._of_agent = {
            vm_id: cell for cell in self.all for vm_id in cell.agents
        }

    def of_entry(self, vm_id: str) -> Cell | None:
        """Returns the cell of an entry, None if it takes no part."""
        return self._of_entry.get(vm_id)

    def of_agent(self, vm_id: str) -> Cell | None:
        """Returns the cell of an agent, None if it takes no part."""
        return self._of_agent.get(vm_id)


def _by_region(
    found: Iterable[members.Member], regions: Mapping[str, str]
) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for member in found:
        region = regions.get(member.data_centre, member.data_centre)
        names.setdefault(region, []).append(member.vm_id)
    return names


def _divide(entries: Mapping[str, Collection[str]]) -> list[Cell]:
    """Returns the cells of each region, whose sizes differ by one at most.

    One entry more or less moves at most one entry between two cells, unless
    the number of cells changes.
    """
    cells = []
    for region in sorted(entries):
        ordered = rendezvous.order("cell", entries[region])
        count = -(-len(ordered) // CELL_MAX)
        for number in range(count):
            first = len(ordered) * number // count
            end = len(ordered) * (number + 1) // count
            name = f"{region}/{number}"
            cells.append(Cell(name, region, tuple(ordered[first:end])))
    return cells


def _assign(
    cells: list[Cell], agents: Mapping[str, Collection[str]]
) -> list[Cell]:
    """Returns the cells with their agents, evenly within each region.

    Agents of a region without entries go to cells of all others.
    """
    assigned: dict[str, list[str]] = {cell.name: [] for cell in cells}
    for region, vm_ids in agents.items():
        own = [cell.name for cell in cells if cell.region == region]
        names = own or [cell.name for cell in cells]
        if not names:
            continue
        ordered = sorted(vm_ids)
        orders = rendezvous.balanced_orders(ordered, names)
        for vm_id, order in zip(ordered, orders, strict=True):
            assigned[order[0]].append(vm_id)
    return [
        msgspec.structs.replace(cell, agents=tuple(assigned[cell.name]))
        for cell in cells
    ]
