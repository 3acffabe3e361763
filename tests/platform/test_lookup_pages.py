from __future__ import annotations

import asyncio

import pytest

from marlramp.platform import lookup_pages


@pytest.mark.parametrize(
    ("query", "expected"),
    [
        (
            "name=A.Example&region=west&zone=dc-1",
            lookup_pages.Lookup("a.example", "west", "dc-1"),
        ),
        ("", lookup_pages.Lookup("", "", "")),
    ],
)
def test_lookup_parses_the_fields_of_the_query(
    query: str, expected: lookup_pages.Lookup
) -> None:
    """Guards against an unrecognised host.

    The entries for a host are limited to the regions that its routes allow.
    """
    seen: list[lookup_pages.Lookup] = []

    def addresses(lookup: lookup_pages.Lookup) -> list[str]:
        seen.append(lookup)
        return ["10.0.0.1:80"]

    pages = lookup_pages.build(addresses, 2.0, lambda: True)
    page = asyncio.run(pages[lookup_pages.LOOKUP_PATH](query))
    assert seen == [expected]
    assert page.body == b'{"addresses":["10.0.0.1:80"],"ttl_s":2.0}'
