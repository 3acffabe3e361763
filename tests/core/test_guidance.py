from __future__ import annotations

from marlramp.core import guidance
from marlramp.core import members


def member(
    name: str, kind: members.MemberKind, data_centre: str
) -> members.Member:
    return members.Member(name, kind, data_centre, "127.0.0.1", 1)


ENTRIES = [
    member(f"entry-{n}", members.MemberKind.ENTRY, "dc-1" if n < 5 else "dc-2")
    for n in range(10)
]
AGENT = member("agent-1", members.MemberKind.AGENT, "dc-1")
NEAR = {"dc-1"}


def test_an_agent_has_guides_in_its_region_and_one_elsewhere() -> None:
    guides = guidance.guides_of(AGENT, ENTRIES, NEAR)
    by_name = {entry.vm_id: entry.data_centre for entry in ENTRIES}
    places = sorted(by_name[name] for name in guides)
    assert places == ["dc-1", "dc-1", "dc-2"]


def test_every_entry_comes_to_the_same_guides() -> None:
    expected = guidance.guides_of(AGENT, ENTRIES, NEAR)
    assert guidance.guides_of(AGENT, reversed(ENTRIES), NEAR) == expected


def test_a_region_without_entries_is_guided_from_elsewhere() -> None:
    far = [entry for entry in ENTRIES if entry.data_centre == "dc-2"]
    guides = guidance.guides_of(AGENT, far, NEAR)
    assert len(guides) == guidance.NEAR_GUIDES + guidance.FAR_GUIDES
    assert guidance.guides_of(AGENT, [ENTRIES[0]], NEAR) == {"entry-0"}
