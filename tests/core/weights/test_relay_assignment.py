from __future__ import annotations

import collections

import pytest

from marlramp.core.weights import relay_assignment

KEYS = [f"{n:064x}" for n in range(64)]


def make_locations(
    entries: int, regions: int = 3, cell_max: int = 16
) -> dict[str, relay_assignment.Location]:
    """Returns locations of entries, spread over regions and divided into cells.

    Args:
      entries: number of entries.
      regions: number of regions.
      cell_max: maximum number of entries in a cell.
    """
    found = {}
    for number in range(entries):
        region = f"region-{number % regions}"
        cell = f"{region}/{number // regions // cell_max}"
        found[f"entry-{number:03}"] = relay_assignment.Location(region, cell)
    return found


@pytest.mark.parametrize("entries", [3, 7, 44, 150])
def test_each_piece_is_held_once_in_each_cell(entries: int) -> None:
    locations = make_locations(entries)
    held = collections.Counter(
        (locations[own].cell, index)
        for own in locations
        for index in relay_assignment.assignments(own, locations, KEYS)
    )
    cells = {location.cell for location in locations.values()}
    assert held == {(cell, index): 1 for cell in cells for index in range(64)}


@pytest.mark.parametrize("entries", [3, 44, 150])
def test_one_entry_fetches_a_piece_and_one_of_each_region_imports_it(
    entries: int,
) -> None:
    locations = make_locations(entries)
    found = {
        own: relay_assignment.assignments(own, locations, KEYS)
        for own in locations
    }
    for index in range(64):
        assignments = {own: f[index] for own, f in found.items() if index in f}
        fetchers = [
            own
            for own, assignment in assignments.items()
            if assignment.rank == 0
        ]
        assert len(fetchers) == 1
        regions = [
            locations[own].region
            for own, assignment in assignments.items()
            if locations[assignment.sources[0]].region != locations[own].region
        ]
        # The first source of the entry that fetches from the origin is in
        # another region too, but that entry requests nothing from it.
        assert sorted(regions) == [f"region-{n}" for n in range(3)]


def test_ranks_of_a_piece_have_no_gaps() -> None:
    locations = make_locations(150)
    ranks = sorted(
        found[0].rank
        for own in locations
        if 0 in (found := relay_assignment.assignments(own, locations, KEYS))
    )
    assert ranks == list(range(len(ranks)))


def test_other_entries_keep_their_pieces_when_an_entry_leaves() -> None:
    locations = make_locations(44)
    gone = next(iter(locations))
    rest = {
        name: location for name, location in locations.items() if name != gone
    }
    for own in rest:
        before = relay_assignment.assignments(own, locations, KEYS).keys()
        assert before <= relay_assignment.assignments(own, rest, KEYS).keys()
