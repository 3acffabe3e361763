"""Tests of what an answer says of a replica's cold state."""

from __future__ import annotations

import random

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp.core.replicas import cold_replica
from marlramp.core.replicas import queue_position
from marlramp.core.replicas import upstream_choice
from marlramp.direct.calls import rate_limits
from marlramp.direct.calls import replica_observer
from marlramp.direct.calls import replica_signals
from marlramp.direct.calls import wire
from tests.direct import conftest


class Sent:
    """A request that was sent to the cold replica."""

    def __init__(
        self, cold_fleet: conftest.ColdFleet, time: clock.ManualClock
    ) -> None:
        view = cold_fleet.table.get("i-1")
        assert view is not None
        assert view.cold is not None
        self.view = view
        self.cold = view.cold
        self.totals = counters.Counters()
        time.advance(10.0)
        self._observer = replica_observer.ReplicaObserver(
            upstream_choice.Choice(
                view=view,
                predicted_ms=10.0,
                unbiased_ms=10.0,
                load=0.0,
                load_age_ms=0.0,
                unread_tokens=0,
                position=queue_position.QueuePosition.FRONT,
            ),
            0,
            rate_limits.Unlimited(),
            replica_signals.ReplicaSignals(
                0.0, self.totals, time, random.Random(1)
            ),
            time,
        )

    def answer(
        self, status: int, cold_left_ms: float | None, unreadable: str = ""
    ) -> None:
        """Hands the head of an answer to the observer."""
        self._observer.on_answer(
            wire.ReplicaAnswer(
                status=status,
                matches_request=True,
                signed=True,
                not_run=False,
                encoded=False,
                weights=None,
                load=None,
                headers=[],
                cold_left_ms=cold_left_ms,
                cold_unreadable=unreadable,
            )
        )


@pytest.fixture
def sent(cold_fleet: conftest.ColdFleet, time: clock.ManualClock) -> Sent:
    """A request that was sent to the cold replica, whose record says 5 s."""
    return Sent(cold_fleet, time)


def test_answer_replaces_what_the_record_says(
    sent: Sent, time: clock.ManualClock
) -> None:
    sent.answer(200, 700.0)
    assert sent.cold.left_ms(time.now_ms()) == 700.0
    assert sent.cold.reason is cold_replica.Reason.ANSWER


@pytest.mark.parametrize(
    ("status", "left_ms"), [(errors.MISDIRECTED, 0.0), (200, None)]
)
def test_answer_without_word_of_the_replica_changes_nothing(
    sent: Sent, time: clock.ManualClock, status: int, left_ms: float | None
) -> None:
    sent.answer(status, left_ms)
    assert sent.cold.left_ms(time.now_ms()) == 4_990.0


def test_answer_to_an_earlier_request_does_not_end_a_suspicion(
    sent: Sent, time: clock.ManualClock
) -> None:
    """The answer may come from the start before the suspected one."""
    time.advance(10.0)
    sent.view.suspect_cold(time.now_ms())
    time.advance(10.0)
    sent.answer(200, 0.0)
    assert sent.cold.left_ms(time.now_ms()) > 6_000.0
    assert sent.cold.reason is cold_replica.Reason.SUSPECTED


def test_unreadable_time_is_counted_and_logged_once(
    sent: Sent, logged: list[tuple[str, dict[str, object]]]
) -> None:
    for value in ("soon", "soon", "-1"):
        sent.answer(200, None, value)
    sent.answer(errors.MISDIRECTED, None, "never")
    name = counters.CounterName.COLD_STATES
    assert sent.totals.total(name, "unreadable") == 3
    assert [fields["value"] for _, fields in logged] == ["soon", "-1"]
