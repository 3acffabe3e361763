"""What replicas say of when they take requests, in the answers that come here.

Every answer tells, also one that a repeat hides from the caller. Only the entry
that was asked is bound by it; a restart of the entry forgets it.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core import availability
from marlramp.core import replica_view
from marlramp.core import seen_values
from marlramp.direct.calls import wire

_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_PAUSING = frozenset({_TOO_MANY_REQUESTS, _UNAVAILABLE})
_REFUSING = frozenset({408, errors.MISDIRECTED, *_PAUSING})


class ReplicaSignals:
    """Takes what answers say into the views of their replicas."""

    def __init__(
        self,
        drain_ms: float,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Knows nothing yet.

        Args:
          drain_ms: how long a replica that leaves may get requests.
          totals: counters.
          time: the clock.
          rng: draws when this entry returns to a replica that paused.
        """
        self._drain_ms = drain_ms
        self._totals = totals
        self._clock = time
        self._rng = rng
        self._paused: dict[str, replica_view.ReplicaView] = {}
        self._leaving: dict[str, replica_view.ReplicaView] = {}
        self._unreadable = seen_values.SeenValues()

    def set_drain(self, drain_ms: float) -> None:
        """Takes another time for replicas that say from now on they leave."""
        self._drain_ms = drain_ms

    def note_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Takes the head of an answer.

        Args:
          view: the replica as it was when the request was sent.
          answer: the answer.
          sent_ms: when the request was sent.
        """
        if answer.status == errors.MISDIRECTED:
            # Perhaps of another replica that got the address.
            return
        now_ms = self._clock.now_ms()
        if answer.leaving:
            self.note_leaving(view, "answer")
        if answer.status in _PAUSING:
            self._note_pause(view, answer, now_ms)
        if answer.not_run:
            view.availability.record_refusal(sent_ms, now_ms)
        elif answer.status not in _REFUSING:
            view.availability.record_served(sent_ms, now_ms)

    def note_leaving(self, view: replica_view.ReplicaView, source: str) -> None:
        """Takes that a replica leaves.

        Args:
          view: the replica.
          source: who says so: an answer to this entry, or the agent beside it.
        """
        now_ms = self._clock.now_ms()
        if not view.availability.record_leaving(self._drain_ms, now_ms):
            return
        replica_id = view.replica.replica_id
        self._leaving[replica_id] = view
        self._totals.add(counters.CounterName.REPLICA_PAUSES, "leaving")
        logs.log(
            "replica_leaving",
            replica=replica_id,
            born_ms=view.born_ms,
            drain_ms=round(self._drain_ms),
            source=source,
        )

    def _note_pause(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        now_ms: clock.Millis,
    ) -> None:
        replica_id = view.replica.replica_id
        if answer.retry_after_unreadable:
            self._note_unreadable(replica_id, answer.retry_after_unreadable)
        if answer.retry_after_ms is None:
            return
        change = view.availability.record_pause(
            answer.retry_after_ms, self._rng.random(), now_ms
        )
        if change is availability.Change.NONE:
            return
        self._paused[replica_id] = view
        self._totals.add(counters.CounterName.REPLICA_PAUSES, change.value)
        logs.log(
            f"replica_pause_{change.value}",
            replica=replica_id,
            status=answer.status,
            asked_ms=round(answer.retry_after_ms),
            ends_in_ms=round(view.availability.closed_ms(now_ms)),
            age_ms=round(now_ms - view.availability.paused_since_ms),
            source="answer",
        )

    def _note_unreadable(self, replica_id: str, value: str) -> None:
        self._totals.add(counters.CounterName.REPLICA_PAUSES, "unreadable")
        if self._unreadable.is_new(replica_id, value):
            logs.log("retry_after_unreadable", replica=replica_id, value=value)

    # Ends.

    def tick(self) -> None:
        """Logs the pauses that are over."""
        now_ms = self._clock.now_ms()
        for replica_id, view in list(self._paused.items()):
            if not view.availability.is_paused(now_ms):
                self._end_pause(replica_id, "over")

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Logs that replicas are gone or started again."""
        for replica_id in replica_ids:
            self._end_pause(replica_id, "gone")
            if self._leaving.pop(replica_id, None) is not None:
                logs.log("replica_leaving_ended", replica=replica_id)

    def _end_pause(self, replica_id: str, reason: str) -> None:
        view = self._paused.pop(replica_id, None)
        if view is None:
            return
        self._totals.add(counters.CounterName.REPLICA_PAUSES, "ended")
        age_ms = self._clock.now_ms() - view.availability.paused_since_ms
        logs.log(
            "replica_pause_ended",
            replica=replica_id,
            reason=reason,
            age_ms=round(age_ms),
        )
