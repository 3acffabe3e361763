"""Division of entries and engines into cells.

The entries of a region are divided into cells of equal size, and each engine
belongs to one cell of its region. Entries of one cell prefer its engines and
report to each other the requests that they have in progress there, so that
entries that share an engine know each other's load. The traffic that each entry
sends and receives therefore depends on the size of a cell, not on the size of
the fleet.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from marlramp.core import rendezvous
from marlramp.core.membership import members

CELL_MAX = 16
"""Maximum number of entries of a cell: each costs every other entry of the cell
2 kB/s while an entry receives 100 requests per second."""


class Cell(msgspec.Struct, frozen=True):
    """Entries that share engines.

    Attributes:
      name: name of the cell; all entries that know identical members compute
        identical names.
      region: region of the cell.
      entries: VMs of the cell's entries, in an order that all entries that know
        identical members compute identically.
      agents: VMs of the agents beside the cell's engines.
    """

    name: str
    region: str
    entries: tuple[str, ...]
    agents: tuple[str, ...] = ()


class Cells:
    """All cells, as one entry computes them from the members that it knows."""

    def __init__(
        self,
        entries: Iterable[members.Member],
        agents: Iterable[members.Member],
        regions: Mapping[str, str],
    ) -> None:
        """Divides the members into cells.

        Args:
          entries: entries that participate.
          agents: agents that participate.
          regions: region of each data centre; a data centre without one counts
            as a region of its own.
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
        """Returns the cell of an entry, None if it does not participate."""
        return self._of_entry.get(vm_id)

    def of_agent(self, vm_id: str) -> Cell | None:
        """Returns the cell of an agent, None if it belongs to no cell."""
        return self._of_agent.get(vm_id)


def _by_region(
    group: Iterable[members.Member], regions: Mapping[str, str]
) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for member in group:
        region = regions.get(member.data_centre, member.data_centre)
        names.setdefault(region, []).append(member.vm_id)
    return names


def _divide(entries: Mapping[str, Collection[str]]) -> list[Cell]:
    """Returns the cells of each region, whose sizes differ by at most one.

    Adding or removing an entry moves at most one entry between two cells,
    unless the number of cells changes.
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
    """Returns the cells with their agents, balanced within each region.

    Agents of a region without entries are divided among the cells of all other
    regions.
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
