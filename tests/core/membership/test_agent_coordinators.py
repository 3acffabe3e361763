from __future__ import annotations

from marlramp.core.membership import agent_coordinators
from marlramp.core.membership import cells
from marlramp.core.membership import members


def member(
    name: str, kind: members.MemberKind, data_centre: str
) -> members.Member:
    return members.Member(name, kind, data_centre, "127.0.0.1", 1)


ENTRIES = [
    member(f"entry-{n}", members.MemberKind.ENTRY, "dc-1" if n < 5 else "dc-2")
    for n in range(10)
]
AGENT = member("agent-1", members.MemberKind.AGENT, "dc-1")


def coordinators(entries: list[members.Member]) -> list[str]:
    return agent_coordinators.coordinators_of(
        "agent-1", cells.Cells(entries, [AGENT], {})
    )


def test_agent_has_two_coordinators_in_its_region_and_one_elsewhere() -> None:
    by_name = {entry.vm_id: entry.data_centre for entry in ENTRIES}
    data_centres = sorted(by_name[name] for name in coordinators(ENTRIES))
    assert data_centres == ["dc-1", "dc-1", "dc-2"]


def test_coordinators_do_not_depend_on_the_order_of_the_entries() -> None:
    assert coordinators(ENTRIES[::-1]) == coordinators(ENTRIES)


def test_region_without_entries_has_coordinators_elsewhere() -> None:
    far = [entry for entry in ENTRIES if entry.data_centre == "dc-2"]
    expected = (
        agent_coordinators.NEAR_COORDINATORS
        + agent_coordinators.FAR_COORDINATORS
    )
    assert len(coordinators(far)) == expected
    assert coordinators(ENTRIES[:1]) == ["entry-0"]
    assert coordinators([]) == []
