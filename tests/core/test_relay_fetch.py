from __future__ import annotations

from marlramp import clock
from marlramp.core import relay_duty
from marlramp.core import relay_fetch

PIECE_MS = 40.0
PIECES = 64
CONNECTIONS = 48
ENTRIES = 3
OWN_ALL = {n: relay_duty.Duty(0, "near", ("far",)) for n in range(PIECES)}
BEHIND = {n: relay_duty.Duty(1, None, ("first",)) for n in range(PIECES)}


def make(
    time: clock.ManualClock,
    duties: dict[int, relay_duty.Duty],
    *,
    is_new: bool = True,
) -> relay_fetch.RelayFetch:
    age_ms = 0.0 if is_new else None
    made = relay_fetch.RelayFetch(PIECE_MS, CONNECTIONS, age_ms, time.now_ms())
    made.set_duties(duties, ENTRIES)
    return made


def drawn(made: relay_fetch.RelayFetch, time: clock.ManualClock) -> list[int]:
    return [
        action.index
        for action in made.next_actions(time.now_ms())
        if isinstance(action, relay_fetch.Draw)
    ]


def asked(
    made: relay_fetch.RelayFetch, time: clock.ManualClock
) -> dict[int, str]:
    return {
        action.index: action.peer
        for action in made.next_actions(time.now_ms())
        if isinstance(action, relay_fetch.AskEntry)
    }


def test_pieces_are_drawn_when_those_before_them_have_left(
    time: clock.ManualClock,
) -> None:
    made = make(time, {5: OWN_ALL[5]})
    assert drawn(made, time) == []
    time.advance(5 * PIECE_MS)
    assert drawn(made, time) == [5]
    assert drawn(made, time) == []


def test_piece_that_another_holds_is_asked_for_and_not_drawn(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL)
    made.peer_holds("far", [0, 1], time.now_ms())
    made.peer_holds("near", [0], time.now_ms())
    time.advance(2 * PIECE_MS)
    assert asked(made, time) == {0: "near", 1: "far"}


def test_old_version_is_asked_of_others_before_it_is_drawn(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL, is_new=False)
    time.advance(relay_fetch.UNASKED_MS - 1.0)
    assert drawn(made, time) == []
    made.hurry(time.now_ms() - 2.0 * relay_fetch.HELLO_MS)
    assert drawn(made, time) != []


def test_version_that_an_agent_lacks_is_drawn_soon(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL, is_new=False)
    made.hurry(time.now_ms())
    assert drawn(made, time) == []
    time.advance(relay_fetch.HELLO_MS)
    assert drawn(made, time)[:1] == [0]


def test_version_that_is_not_worth_it_is_asked_for_and_not_drawn(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL)
    made.peer_holds("near", [1], time.now_ms())
    time.advance(PIECES * PIECE_MS)
    actions = made.next_actions(time.now_ms(), may_draw=False)
    assert actions == [relay_fetch.AskEntry("near", 1)]


def test_what_agents_near_hold_does_not_cross_between_regions(
    time: clock.ManualClock,
) -> None:
    """Entries that start again by turns fetch their pieces each time."""
    made = make(time, {0: OWN_ALL[0]}, is_new=False)
    made.peer_holds("far", [0], time.now_ms())
    assert asked(made, time) == {}
    made.peer_holds("vm-1", range(PIECES), time.now_ms())
    assert asked(made, time) == {0: "vm-1"}


def test_few_pieces_are_asked_of_other_regions_at_once(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL)
    made.peer_holds("far", range(PIECES), time.now_ms())
    assert len(asked(made, time)) == relay_fetch.FAR_ASKS_MAX


def test_agents_that_hold_all_are_asked_by_turns(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL)
    for name in ("vm-1", "vm-2", "vm-3", "vm-4"):
        made.peer_holds(name, range(PIECES), time.now_ms())
    assert len(set(asked(made, time).values())) == 4


def test_next_in_order_draws_what_the_first_does_not(
    time: clock.ManualClock,
) -> None:
    made = make(time, BEHIND)
    time.advance(relay_fetch.TAKEOVER_MS - 1.0)
    assert drawn(made, time) == []
    time.advance(1.0)
    assert drawn(made, time) == [0]


def test_origin_that_is_away_is_left_to_the_first_in_order(
    time: clock.ManualClock,
) -> None:
    made = make(time, BEHIND)
    time.advance(relay_fetch.TAKEOVER_MS)
    for index in drawn(made, time):
        made.origin_failed(index, 100.0, time.now_ms())
    time.advance(relay_fetch.AWAY_TAKEOVER_MS - 1.0)
    assert drawn(made, time) == []
    time.advance(1.0)
    assert len(drawn(made, time)) == 1


def test_origin_that_is_back_is_left_to_the_first_for_a_while(
    time: clock.ManualClock,
) -> None:
    made = make(time, BEHIND)
    time.advance(relay_fetch.TAKEOVER_MS)
    for index in drawn(made, time):
        made.origin_failed(index, 100.0, time.now_ms())
    time.advance(relay_fetch.AWAY_TAKEOVER_MS - 1.0)
    made.peer_holds("first", [40], time.now_ms())
    time.advance(relay_fetch.TAKEOVER_MS - 1.0)
    assert drawn(made, time) == []
    time.advance(1.0)
    assert drawn(made, time) != []


def test_first_in_order_looks_for_an_origin_with_one_draw_at_a_time(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL)
    time.advance(3 * PIECES * PIECE_MS)
    for index in drawn(made, time):
        made.origin_failed(index, 100.0, time.now_ms())
    time.advance(100.0)
    (index,) = drawn(made, time)
    made.held(index, time.now_ms())
    assert len(drawn(made, time)) == relay_fetch.LATE_DRAWS_MAX


def test_pieces_that_are_overdue_are_drawn_together(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL)
    time.advance(3 * PIECES * PIECE_MS)
    assert len(drawn(made, time)) == relay_fetch.LATE_DRAWS_MAX


def test_piece_that_does_not_come_is_asked_for_elsewhere(
    time: clock.ManualClock,
) -> None:
    made = make(time, {0: OWN_ALL[0]})
    made.peer_holds("near", [0], time.now_ms())
    made.peer_holds("far", [0], time.now_ms())
    assert asked(made, time) == {0: "near"}
    time.advance(relay_fetch.LATE_MS + 1.0)
    actions = made.next_actions(time.now_ms())
    assert actions == [relay_fetch.Cancel(0), relay_fetch.AskEntry("far", 0)]


def test_wrong_bytes_spare_their_sender(time: clock.ManualClock) -> None:
    made = make(time, {0: OWN_ALL[0]})
    made.peer_holds("near", [0], time.now_ms())
    assert asked(made, time) == {0: "near"}
    made.not_sent(0, "near", time.now_ms())
    made.peer_holds("near", [0], time.now_ms())
    assert asked(made, time) == {}
    assert drawn(made, time) == []
    made.held(0, time.now_ms())
    assert made.complete


def test_process_that_is_lost_is_asked_for_nothing(
    time: clock.ManualClock,
) -> None:
    made = make(time, {0: OWN_ALL[0]})
    made.peer_holds("near", [0], time.now_ms())
    made.next_actions(time.now_ms())
    made.peer_lost("near")
    assert drawn(made, time) == [0]


def test_entry_that_starts_late_draws_at_once_what_is_overdue(
    time: clock.ManualClock,
) -> None:
    made = relay_fetch.RelayFetch(
        PIECE_MS, CONNECTIONS, 10_000.0, time.now_ms()
    )
    made.set_duties({54: OWN_ALL[54]}, ENTRIES)
    made.hurry(time.now_ms())
    time.advance(relay_fetch.HELLO_MS)
    assert drawn(made, time) == [54]


def test_all_entries_together_open_few_connections(
    time: clock.ManualClock,
) -> None:
    made = make(time, OWN_ALL)
    made.set_duties(OWN_ALL, 44)
    time.advance(3 * PIECES * PIECE_MS)
    assert len(drawn(made, time)) == 1


def test_piece_whose_only_holder_is_gone_is_drawn(
    time: clock.ManualClock,
) -> None:
    made = make(time, {0: OWN_ALL[0]})
    made.peer_holds("vm-1", range(PIECES), time.now_ms())
    assert asked(made, time) == {0: "vm-1"}
    time.advance(relay_fetch.LATE_MS + 1.0)
    actions = made.next_actions(time.now_ms())
    assert actions == [relay_fetch.Cancel(0), relay_fetch.Draw(0)]
