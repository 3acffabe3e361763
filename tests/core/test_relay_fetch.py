from __future__ import annotations

import itertools

from marlramp import clock
from marlramp.core import origin_turns
from marlramp.core import relay_duty
from marlramp.core import relay_fetch

PIECE_MS = 40.0
PIECES = 64
CONNECTIONS = 48
ENTRIES = 3
RETRY_MS = 100.0
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


def fail(
    made: relay_fetch.RelayFetch,
    time: clock.ManualClock,
    missing: list[int],
    until_ms: float,
) -> list[tuple[float, int]]:
    """Fails each draw of an origin that is away; returns when they were."""
    looks = []
    while time.now_ms() < until_ms:
        for index in drawn(made, time):
            looks.append((time.now_ms(), index))
            made.origin_failed(index, RETRY_MS, time.now_ms(), missing)
        time.advance(1.0)
    return looks


def test_pieces_that_an_origin_which_is_away_owes_take_turns() -> None:
    """Once it is back each has the link for itself, in their order."""
    missing = list(range(55, 64))
    round_ms = len(missing) * PIECE_MS
    settled_ms = (PIECES + 0.5) * PIECE_MS + 2.0 * round_ms
    looks = []
    for index in missing:
        time = clock.ManualClock()
        made = make(time, {index: OWN_ALL[index]})
        found = fail(made, time, missing, settled_ms + round_ms)
        looks += [look for look in found if look[0] > settled_ms]
    looks.sort()
    assert len(looks) == len(missing)
    waits_ms = [later[0] - look[0] for look, later in itertools.pairwise(looks)]
    assert waits_ms == [PIECE_MS] * len(waits_ms)
    order = [index for _, index in looks]
    first = order.index(missing[0])
    assert order[first:] + order[:first] == missing


def test_connection_that_is_reset_is_tried_again_without_a_turn(
    time: clock.ManualClock,
) -> None:
    made = make(time, {0: OWN_ALL[0]})
    start_ms = time.now_ms()
    until_ms = start_ms + (relay_fetch.TURNS_AFTER + 0.5) * RETRY_MS
    looks = fail(made, time, list(range(PIECES)), until_ms)
    wanted = [n * RETRY_MS for n in range(relay_fetch.TURNS_AFTER + 1)]
    assert [at_ms - start_ms for at_ms, _ in looks] == wanted


def test_next_in_order_does_not_draw_beside_the_first(
    time: clock.ManualClock,
) -> None:
    """The first has found the origin at its turn, and tells of the piece."""
    first = make(time, {9: OWN_ALL[9]})
    second = make(time, {9: BEHIND[9]})
    missing = list(range(5, 20))
    until_ms = time.now_ms() + 2.0 * relay_fetch.AWAY_TAKEOVER_MS
    away = time.now_ms()
    looks: dict[str, list[float]] = {"first": [], "second": []}
    while time.now_ms() < until_ms:
        for name, made in (("first", first), ("second", second)):
            for index in drawn(made, time):
                looks[name].append(time.now_ms() - away)
                made.origin_failed(index, RETRY_MS, time.now_ms(), missing)
        time.advance(1.0)
    turn_ms = looks["second"][-1] - origin_turns.RANK_PIECES * PIECE_MS
    assert turn_ms in looks["first"]


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
