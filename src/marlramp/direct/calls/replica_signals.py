"""Records pauses, refusals and departures that replicas report in answers.

Every answer counts, including one that a retry hides from the caller. A report
applies only to the entry that received it, and does not survive a restart of
the entry.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core import seen_values
from marlramp.core.replicas import availability
from marlramp.core.replicas import replica_view
from marlramp.direct.calls import wire

_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_PAUSE_STATUSES = frozenset({_TOO_MANY_REQUESTS, _UNAVAILABLE})
_REFUSAL_STATUSES = frozenset({408, errors.MISDIRECTED, *_PAUSE_STATUSES})


class ReplicaSignals:
    """Records the reports of answers in the views of their replicas."""

    def __init__(
        self,
        drain_ms: float,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Creates an object without reports.

        Args:
          drain_ms: time for which a leaving replica may still be sent requests.
          totals: counters.
          time: the clock.
          rng: picks the time at which this entry returns to a replica after a
            pause.
        """
        self._drain_ms = drain_ms
        self._totals = totals
        self._clock = time
        self._rng = rng
        self._paused: dict[str, replica_view.ReplicaView] = {}
        self._leaving: dict[str, replica_view.ReplicaView] = {}
        self._unreadable = seen_values.SeenValues()
        self._unreadable_cold = seen_values.SeenValues()

    def set_drain(self, drain_ms: float) -> None:
        """Sets the drain time of replicas that leave from now on."""
        self._drain_ms = drain_ms

    def handle_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Records what the head of an answer reports.

        Args:
          view: the view that the replica had when the request was sent.
          answer: the head of the answer.
          sent_ms: clock reading when the request was sent.
        """
        if answer.status == errors.MISDIRECTED:
            # The answer may come from another replica that now has the address.
            return
        now_ms = self._clock.now_ms()
        if answer.leaving:
            self.record_leaving(view, "answer")
        if answer.cold_unreadable:
            self._record_unreadable_cold(
                view.replica.replica_id, answer.cold_unreadable
            )
        if answer.status in _PAUSE_STATUSES:
            self._record_pause(view, answer, now_ms)
        if answer.not_run:
            view.availability.record_refusal(sent_ms, now_ms)
        elif answer.status not in _REFUSAL_STATUSES:
            view.availability.record_served(sent_ms, now_ms)

    def record_leaving(
        self, view: replica_view.ReplicaView, source: str
    ) -> None:
        """Records that a replica leaves.

        Args:
          view: the replica.
          source: origin of the report: "answer" for an answer to this entry,
            "agent" for the agent beside the replica.
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

    def _record_pause(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        now_ms: clock.Millis,
    ) -> None:
        replica_id = view.replica.replica_id
        if answer.retry_after_unreadable:
            self._record_unreadable(replica_id, answer.retry_after_unreadable)
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

    def _record_unreadable(self, replica_id: str, value: str) -> None:
        self._totals.add(counters.CounterName.REPLICA_PAUSES, "unreadable")
        if self._unreadable.is_new(replica_id, value):
            logs.log("retry_after_unreadable", replica=replica_id, value=value)

    def _record_unreadable_cold(self, replica_id: str, value: str) -> None:
        self._totals.add(counters.CounterName.COLD_STATES, "unreadable")
        if self._unreadable_cold.is_new(replica_id, value):
            logs.log("cold_time_unreadable", replica=replica_id, value=value)

    # Ends of pauses and replicas.

    def tick(self) -> None:
        """Logs the pauses that have ended."""
        now_ms = self._clock.now_ms()
        for replica_id, view in list(self._paused.items()):
            if not view.availability.is_paused(now_ms):
                self._end_pause(replica_id, "over")

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Ends the reports of replicas that are gone or were restarted."""
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
