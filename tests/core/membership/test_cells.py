from __future__ import annotations

import pytest

from marlramp.core.membership import cells
from marlramp.core.membership import members

REGIONS = {f"dc-{n}": f"region-{n}" for n in range(5)}


def entries(count: int, data_centre: str = "dc-0") -> list[members.Member]:
    return [
        members.Member(
            f"{data_centre}-entry-{n}",
            members.MemberKind.ENTRY,
            data_centre,
            "127.0.0.1",
            1,
        )
        for n in range(count)
    ]


def agents(count: int, data_centre: str = "dc-0") -> list[members.Member]:
    return [
        members.Member(
            f"{data_centre}-agent-{n}",
            members.MemberKind.AGENT,
            data_centre,
            "127.0.0.1",
            1,
        )
        for n in range(count)
    ]


@pytest.mark.parametrize("count", [1, 3, 16, 17, 20, 43, 210])
def test_cells_are_of_equal_and_bounded_size(count: int) -> None:
    found = cells.Cells(entries(count), agents(50), REGIONS).all
    sizes = [len(cell.entries) for cell in found]
    assert sum(sizes) == count
    assert max(sizes) <= cells.CELL_MAX
    assert max(sizes) - min(sizes) <= 1
    shares = [len(cell.agents) for cell in found]
    assert sum(shares) == 50
    assert max(shares) <= -(-50 // len(found))


def test_cells_do_not_depend_on_the_order_of_members() -> None:
    found = cells.Cells(entries(40), agents(30), REGIONS).all
    again = cells.Cells(entries(40)[::-1], agents(30)[::-1], REGIONS).all
    assert found == again


def test_adding_an_entry_moves_few_entries() -> None:
    before = cells.Cells(entries(40), agents(60), REGIONS)
    after = cells.Cells(entries(41), agents(60), REGIONS)
    assert len(before.all) == len(after.all)
    moved = [
        entry.vm_id
        for entry in entries(40)
        if _name(before.of_entry(entry.vm_id))
        != _name(after.of_entry(entry.vm_id))
    ]
    assert len(moved) <= len(before.all) - 1


def test_agents_belong_to_cells_of_their_region() -> None:
    found = cells.Cells(
        [*entries(20), *entries(20, "dc-1")],
        [*agents(9), *agents(9, "dc-1")],
        REGIONS,
    )
    for agent in agents(9, "dc-1"):
        cell = found.of_agent(agent.vm_id)
        assert cell is not None
        assert cell.region == "region-1"


def test_agents_of_a_region_without_entries_belong_to_other_regions() -> None:
    found = cells.Cells(entries(20), agents(8, "dc-2"), REGIONS)
    assert sum(len(cell.agents) for cell in found.all) == 8


def test_no_cells_without_entries() -> None:
    found = cells.Cells([], agents(3), REGIONS)
    assert found.all == []
    assert found.of_agent("dc-0-agent-1") is None


def _name(cell: cells.Cell | None) -> str:
    assert cell is not None
    return cell.name
