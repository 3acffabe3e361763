from __future__ import annotations

import collections

import pytest

from marlramp.core import relay_duty

KEYS = [f"{n:064x}" for n in range(64)]


def places(
    entries: int, regions: int = 3, cell_max: int = 16
) -> dict[str, relay_duty.Place]:
    """Returns places of entries, by turns in regions, in cells of some size."""
    found = {}
    for number in range(entries):
        region = f"region-{number % regions}"
        cell = f"{region}/{number // regions // cell_max}"
        found[f"entry-{number:03}"] = relay_duty.Place(region, cell)
    return found


@pytest.mark.parametrize("entries", [3, 7, 44, 150])
def test_each_piece_is_held_once_in_each_cell(entries: int) -> None:
    there = places(entries)
    held = collections.Counter(
        (there[own].cell, index)
        for own in there
        for index in relay_duty.duties(own, there, KEYS)
    )
    cells = {place.cell for place in there.values()}
    assert held == {(cell, index): 1 for cell in cells for index in range(64)}


@pytest.mark.parametrize("entries", [3, 44, 150])
def test_one_entry_draws_a_piece_and_one_of_each_region_imports_it(
    entries: int,
) -> None:
    there = places(entries)
    found = {own: relay_duty.duties(own, there, KEYS) for own in there}
    for index in range(64):
        duties = {own: f[index] for own, f in found.items() if index in f}
        drawers = [own for own, duty in duties.items() if duty.rank == 0]
        assert len(drawers) == 1
        regions = [
            there[own].region
            for own, duty in duties.items()
            if there[duty.sources[0]].region != there[own].region
        ]
        # The drawer's first source is elsewhere too, but it asks nobody.
        assert sorted(regions) == [f"region-{n}" for n in range(3)]


def test_ranks_name_an_order_without_gaps() -> None:
    there = places(150)
    ranks = sorted(
        found[0].rank
        for own in there
        if 0 in (found := relay_duty.duties(own, there, KEYS))
    )
    assert ranks == list(range(len(ranks)))


def test_an_entry_that_goes_leaves_the_others_their_pieces() -> None:
    there = places(44)
    gone = next(iter(there))
    rest = {name: place for name, place in there.items() if name != gone}
    for own in rest:
        before = relay_duty.duties(own, there, KEYS).keys()
        assert before <= relay_duty.duties(own, rest, KEYS).keys()
