from __future__ import annotations

from marlramp.core import members
from marlramp.core import reader_duty


def entry(name: str, store_age_ms: float | None) -> members.KnownMember:
    member = members.Member(
        name, members.MemberKind.ENTRY, "dc-1", "127.0.0.1", 1
    )
    pulse = members.Pulse(
        members.MemberState.READY, 5, store_age_ms, reads_store=True
    )
    return members.KnownMember(member, 0.0, 0.0, pulse)


def test_store_that_answers_nobody_is_down() -> None:
    silent = [entry("entry-2", 4_000.0), entry("entry-3", None)]
    assert reader_duty.store_serves_none(silent, own_fails=True)


def test_store_that_answers_another_entry_is_not_down() -> None:
    others = [entry("entry-2", 4_000.0), entry("entry-3", 300.0)]
    assert not reader_duty.store_serves_none(others, own_fails=True)
    assert not reader_duty.store_serves_none(others[:1], own_fails=False)


def test_entry_that_hears_no_other_blames_itself() -> None:
    assert not reader_duty.store_serves_none([], own_fails=True)
