from __future__ import annotations

import asyncio
import pathlib

from standins import direct_fleet


def test_fleets_of_one_group_get_distinct_addresses(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against fleets that answer each other's requests.

    Fleets that ask for one group must not get the same loopback addresses. 255
    is the last group, so that the search for a free one continues at group 0.
    """
    first = direct_fleet.Fleet(tmp_path, 1, 1, group=255)
    second = direct_fleet.Fleet(tmp_path, 1, 1, group=255)
    assert first.entry_hosts != second.entry_hosts
    asyncio.run(first.__aexit__())
    third = direct_fleet.Fleet(tmp_path, 1, 1, group=255)
    assert third.entry_hosts == first.entry_hosts
    asyncio.run(second.__aexit__())
    asyncio.run(third.__aexit__())
