from __future__ import annotations

import itertools

from marlramp import clock
from marlramp.core.weights import origin_retry_slots
from marlramp.core.weights import relay_assignment
from marlramp.core.weights import relay_fetch

PIECE_MS = 40.0
PIECES = 64
CONNECTIONS = 48
ENTRIES = 3
RETRY_MS = 100.0
FIRST_IN_ORDER = {
    n: relay_assignment.Assignment(0, "near", ("far",)) for n in range(PIECES)
}
SECOND_IN_ORDER = {
    n: relay_assignment.Assignment(1, None, ("first",)) for n in range(PIECES)
}


def make(
    time: clock.ManualClock,
    assignments: dict[int, relay_assignment.Assignment],
    *,
    is_new: bool = True,
) -> relay_fetch.RelayFetch:
    age_ms = 0.0 if is_new else None
    fetch = relay_fetch.RelayFetch(PIECE_MS, CONNECTIONS, age_ms, time.now_ms())
    fetch.set_assignments(assignments, ENTRIES)
    return fetch


def origin_fetches(
    fetch: relay_fetch.RelayFetch, time: clock.ManualClock
) -> list[int]:
    return [
        action.index
        for action in fetch.next_actions(time.now_ms())
        if isinstance(action, relay_fetch.FetchFromOrigin)
    ]


def peer_requests(
    fetch: relay_fetch.RelayFetch, time: clock.ManualClock
) -> dict[int, str]:
    return {
        action.index: action.peer
        for action in fetch.next_actions(time.now_ms())
        if isinstance(action, relay_fetch.FetchFromPeer)
    }


def test_pieces_are_fetched_when_those_before_them_have_left(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, {5: FIRST_IN_ORDER[5]})
    assert origin_fetches(fetch, time) == []
    time.advance(5 * PIECE_MS)
    assert origin_fetches(fetch, time) == [5]
    assert origin_fetches(fetch, time) == []


def test_piece_that_a_peer_holds_is_requested_from_the_peer(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER)
    fetch.record_holdings("far", [0, 1], time.now_ms())
    fetch.record_holdings("near", [0], time.now_ms())
    time.advance(2 * PIECE_MS)
    assert peer_requests(fetch, time) == {0: "near", 1: "far"}


def test_old_version_is_fetched_from_the_origin_after_a_wait(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER, is_new=False)
    time.advance(relay_fetch.NO_DEMAND_WAIT_MS - 1.0)
    assert origin_fetches(fetch, time) == []
    fetch.record_demand(time.now_ms() - 2.0 * relay_fetch.HOLDER_QUERY_MS)
    assert origin_fetches(fetch, time) != []


def test_version_that_an_agent_lacks_is_fetched_after_a_short_wait(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER, is_new=False)
    fetch.record_demand(time.now_ms())
    assert origin_fetches(fetch, time) == []
    time.advance(relay_fetch.HOLDER_QUERY_MS)
    assert origin_fetches(fetch, time)[:1] == [0]


def test_version_that_the_origin_must_not_send_is_requested_from_peers(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER)
    fetch.record_holdings("near", [1], time.now_ms())
    time.advance(PIECES * PIECE_MS)
    actions = fetch.next_actions(time.now_ms(), may_use_origin=False)
    assert actions == [relay_fetch.FetchFromPeer("near", 1)]


def test_piece_that_agents_of_the_region_hold_is_not_imported(
    time: clock.ManualClock,
) -> None:
    # Entries that restart one after another fetch all their pieces each time,
    # which loads the links between regions.
    fetch = make(time, {0: FIRST_IN_ORDER[0]}, is_new=False)
    fetch.record_holdings("far", [0], time.now_ms())
    assert peer_requests(fetch, time) == {}
    fetch.record_holdings("vm-1", range(PIECES), time.now_ms())
    assert peer_requests(fetch, time) == {0: "vm-1"}


def test_few_pieces_are_requested_from_other_regions_at_once(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER)
    fetch.record_holdings("far", range(PIECES), time.now_ms())
    assert len(peer_requests(fetch, time)) == relay_fetch.FAR_REQUESTS_MAX


def test_requests_are_spread_over_the_agents_that_hold_all_pieces(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER)
    for name in ("vm-1", "vm-2", "vm-3", "vm-4"):
        fetch.record_holdings(name, range(PIECES), time.now_ms())
    assert len(set(peer_requests(fetch, time).values())) == 4


def test_next_entry_fetches_a_piece_that_the_first_does_not(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, SECOND_IN_ORDER)
    time.advance(relay_fetch.TAKEOVER_MS - 1.0)
    assert origin_fetches(fetch, time) == []
    time.advance(1.0)
    assert origin_fetches(fetch, time) == [0]


def test_next_entry_waits_longer_while_the_origin_is_down(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, SECOND_IN_ORDER)
    time.advance(relay_fetch.TAKEOVER_MS)
    for index in origin_fetches(fetch, time):
        fetch.record_origin_failure(index, 100.0, time.now_ms())
    time.advance(relay_fetch.OUTAGE_TAKEOVER_MS - 1.0)
    assert origin_fetches(fetch, time) == []
    time.advance(1.0)
    assert len(origin_fetches(fetch, time)) == 1


def test_next_entry_waits_for_the_first_after_the_origin_recovers(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, SECOND_IN_ORDER)
    time.advance(relay_fetch.TAKEOVER_MS)
    for index in origin_fetches(fetch, time):
        fetch.record_origin_failure(index, 100.0, time.now_ms())
    time.advance(relay_fetch.OUTAGE_TAKEOVER_MS - 1.0)
    fetch.record_holdings("first", [40], time.now_ms())
    time.advance(relay_fetch.TAKEOVER_MS - 1.0)
    assert origin_fetches(fetch, time) == []
    time.advance(1.0)
    assert origin_fetches(fetch, time) != []


def test_first_entry_retries_one_piece_at_a_time_while_the_origin_is_down(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER)
    time.advance(3 * PIECES * PIECE_MS)
    for index in origin_fetches(fetch, time):
        fetch.record_origin_failure(index, 100.0, time.now_ms())
    time.advance(100.0)
    (index,) = origin_fetches(fetch, time)
    fetch.record_held(index, time.now_ms())
    assert (
        len(origin_fetches(fetch, time))
        == relay_fetch.OVERDUE_ORIGIN_FETCHES_MAX
    )


def fail_origin_fetches(
    fetch: relay_fetch.RelayFetch,
    time: clock.ManualClock,
    missing: list[int],
    until_ms: float,
) -> list[tuple[float, int]]:
    """Fails all fetches until a time; returns the time and piece of each."""
    retries = []
    while time.now_ms() < until_ms:
        for index in origin_fetches(fetch, time):
            retries.append((time.now_ms(), index))
            fetch.record_origin_failure(index, RETRY_MS, time.now_ms(), missing)
        time.advance(1.0)
    return retries


def test_missing_pieces_are_retried_one_at_a_time_in_order() -> None:
    # If the pieces shared the link of an origin that recovered, all of them
    # would arrive late.
    missing = list(range(55, 64))
    cycle_ms = len(missing) * PIECE_MS
    settled_ms = (PIECES + 0.5) * PIECE_MS + 2.0 * cycle_ms
    retries = []
    for index in missing:
        time = clock.ManualClock()
        fetch = make(time, {index: FIRST_IN_ORDER[index]})
        new_retries = fail_origin_fetches(
            fetch, time, missing, settled_ms + cycle_ms
        )
        retries += [retry for retry in new_retries if retry[0] > settled_ms]
    retries.sort()
    assert len(retries) == len(missing)
    waits_ms = [
        later[0] - retry[0] for retry, later in itertools.pairwise(retries)
    ]
    assert waits_ms == [PIECE_MS] * len(waits_ms)
    order = [index for _, index in retries]
    first = order.index(missing[0])
    assert order[first:] + order[:first] == missing


def test_fetch_whose_connection_is_reset_is_retried_without_a_slot(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, {0: FIRST_IN_ORDER[0]})
    start_ms = time.now_ms()
    until_ms = start_ms + (relay_fetch.SLOTS_AFTER_FAILURES + 0.5) * RETRY_MS
    retries = fail_origin_fetches(fetch, time, list(range(PIECES)), until_ms)
    expected = [
        n * RETRY_MS for n in range(relay_fetch.SLOTS_AFTER_FAILURES + 1)
    ]
    assert [at_ms - start_ms for at_ms, _ in retries] == expected


def test_next_entry_does_not_fetch_a_piece_together_with_the_first(
    time: clock.ManualClock,
) -> None:
    # If the first entry's retry succeeds, it announces the piece before the
    # slot of the next entry.
    first = make(time, {9: FIRST_IN_ORDER[9]})
    second = make(time, {9: SECOND_IN_ORDER[9]})
    missing = list(range(5, 20))
    until_ms = time.now_ms() + 2.0 * relay_fetch.OUTAGE_TAKEOVER_MS
    start_ms = time.now_ms()
    retries: dict[str, list[float]] = {"first": [], "second": []}
    while time.now_ms() < until_ms:
        for name, fetch in (("first", first), ("second", second)):
            for index in origin_fetches(fetch, time):
                retries[name].append(time.now_ms() - start_ms)
                fetch.record_origin_failure(
                    index, RETRY_MS, time.now_ms(), missing
                )
        time.advance(1.0)
    slot_ms = (
        retries["second"][-1] - origin_retry_slots.RANK_OFFSET_PIECES * PIECE_MS
    )
    assert slot_ms in retries["first"]


def test_overdue_pieces_are_fetched_together(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER)
    time.advance(3 * PIECES * PIECE_MS)
    assert (
        len(origin_fetches(fetch, time))
        == relay_fetch.OVERDUE_ORIGIN_FETCHES_MAX
    )


def test_piece_that_does_not_arrive_is_requested_elsewhere(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, {0: FIRST_IN_ORDER[0]})
    fetch.record_holdings("near", [0], time.now_ms())
    fetch.record_holdings("far", [0], time.now_ms())
    assert peer_requests(fetch, time) == {0: "near"}
    time.advance(relay_fetch.REQUEST_TIMEOUT_MS + 1.0)
    actions = fetch.next_actions(time.now_ms())
    assert actions == [
        relay_fetch.CancelFetch(0),
        relay_fetch.FetchFromPeer("far", 0),
    ]


def test_sender_of_a_corrupt_piece_gets_no_request(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, {0: FIRST_IN_ORDER[0]})
    fetch.record_holdings("near", [0], time.now_ms())
    assert peer_requests(fetch, time) == {0: "near"}
    fetch.record_failed_request(0, "near", time.now_ms())
    fetch.record_holdings("near", [0], time.now_ms())
    assert peer_requests(fetch, time) == {}
    assert origin_fetches(fetch, time) == []
    fetch.record_held(0, time.now_ms())
    assert fetch.complete


def test_lost_process_gets_no_request(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, {0: FIRST_IN_ORDER[0]})
    fetch.record_holdings("near", [0], time.now_ms())
    fetch.next_actions(time.now_ms())
    fetch.remove_peer("near")
    assert origin_fetches(fetch, time) == [0]


def test_entry_that_starts_late_fetches_an_overdue_piece_at_once(
    time: clock.ManualClock,
) -> None:
    fetch = relay_fetch.RelayFetch(
        PIECE_MS, CONNECTIONS, 10_000.0, time.now_ms()
    )
    fetch.set_assignments({54: FIRST_IN_ORDER[54]}, ENTRIES)
    fetch.record_demand(time.now_ms())
    time.advance(relay_fetch.HOLDER_QUERY_MS)
    assert origin_fetches(fetch, time) == [54]


def test_all_entries_together_open_few_connections(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, FIRST_IN_ORDER)
    fetch.set_assignments(FIRST_IN_ORDER, 44)
    time.advance(3 * PIECES * PIECE_MS)
    assert len(origin_fetches(fetch, time)) == 1


def test_piece_whose_only_holder_is_gone_is_fetched_from_the_origin(
    time: clock.ManualClock,
) -> None:
    fetch = make(time, {0: FIRST_IN_ORDER[0]})
    fetch.record_holdings("vm-1", range(PIECES), time.now_ms())
    assert peer_requests(fetch, time) == {0: "vm-1"}
    time.advance(relay_fetch.REQUEST_TIMEOUT_MS + 1.0)
    actions = fetch.next_actions(time.now_ms())
    assert actions == [
        relay_fetch.CancelFetch(0),
        relay_fetch.FetchFromOrigin(0),
    ]


def test_old_version_crosses_no_region_until_an_agent_lacks_it(
    time: clock.ManualClock,
) -> None:
    # At a start, each region imported two thirds of the version that its own
    # engines held, since its agents had not announced their pieces yet.
    fetch = make(time, FIRST_IN_ORDER, is_new=False)
    fetch.record_holdings("far", range(PIECES), time.now_ms())
    time.advance(10_000.0)
    assert peer_requests(fetch, time) == {}
    assert origin_fetches(fetch, time) == []
    fetch.record_demand(time.now_ms())
    time.advance(relay_fetch.HOLDER_QUERY_MS)
    assert set(peer_requests(fetch, time).values()) == {"far"}
