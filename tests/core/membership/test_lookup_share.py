from __future__ import annotations

import collections

import pytest

from marlramp.core.membership import lookup_share
from marlramp.core.membership import members

DATA_CENTRES = [f"dc-{n}" for n in range(5)]


def entries(count: int) -> list[members.Member]:
    return [
        members.Member(
            f"entry-{n}",
            members.MemberKind.ENTRY,
            DATA_CENTRES[n % 5],
            "127.0.0.1",
            1,
        )
        for n in range(count)
    ]


def test_few_entries_are_all_returned() -> None:
    found = entries(lookup_share.ADDRESSES_MAX)
    assert lookup_share.entries_for("dc-1", DATA_CENTRES, found) == found


@pytest.mark.parametrize("count", [65, 98, 134, 630])
def test_every_entry_is_returned_as_often_as_any_other(count: int) -> None:
    found = entries(count)
    named: collections.Counter[str] = collections.Counter()
    for data_centre in DATA_CENTRES:
        part = lookup_share.entries_for(data_centre, DATA_CENTRES, found)
        assert len({entry.vm_id for entry in part}) == 64
        named.update(entry.vm_id for entry in part)
    counts = [named[entry.vm_id] for entry in found]
    assert max(counts) - min(counts) <= 1


def test_callers_keep_most_entries_when_one_goes() -> None:
    found = entries(98)
    before = lookup_share.entries_for("dc-2", DATA_CENTRES, found)
    after = lookup_share.entries_for("dc-2", DATA_CENTRES, found[1:])
    kept = {e.vm_id for e in before} & {e.vm_id for e in after}
    assert len(kept) >= lookup_share.ADDRESSES_MAX - 2


def test_caller_of_an_unknown_data_centre_gets_entries_too() -> None:
    part = lookup_share.entries_for("", DATA_CENTRES, entries(98))
    assert len(part) == lookup_share.ADDRESSES_MAX


@pytest.mark.parametrize(
    ("permitted", "expected"),
    [
        ({"west"}, {"dc-0", "dc-1"}),
        ({"west", "east"}, {"dc-0", "dc-1", "dc-2"}),
        ({"south"}, set(DATA_CENTRES)),
        (set(), set(DATA_CENTRES)),
        ({""}, set(DATA_CENTRES)),
    ],
)
def test_entries_are_in_permitted_regions_if_any_is(
    permitted: set[str], expected: set[str]
) -> None:
    """Guards against callers that find no entry, or one of another region."""
    regions = {"dc-0": "west", "dc-1": "west", "dc-2": "east"}
    found = lookup_share.in_permitted_regions(entries(10), permitted, regions)
    assert {entry.data_centre for entry in found} == expected
