"""Keeps what is believed of a replica in step with an attempt there."""

from __future__ import annotations

from marlramp import clock
from marlramp import errors
from marlramp.core import queue_position
from marlramp.core import replica_view
from marlramp.core import upstream_choice
from marlramp.direct.calls import attempts
from marlramp.direct.calls import named_limits
from marlramp.direct.calls import replica_signals
from marlramp.direct.calls import wire


class ReplicaObserver:
    """Keeps a replica's view in step with one attempt there.

    Attributes:
      first_event_ms: time from the send to the first event, None before it.
    """

    def __init__(
        self,
        choice: upstream_choice.Choice,
        prompt_tokens: int,
        limits: named_limits.NamedLimits,
        signals: replica_signals.ReplicaSignals,
        time: clock.Clock,
    ) -> None:
        """Counts the request as sent to the chosen replica."""
        view = choice.view
        self._view = view
        self._unbiased_ms = choice.unbiased_ms
        self._place = choice.position
        self._tokens: int | None = prompt_tokens
        self._limits = limits
        self._signals = signals
        self._clock = time
        self._sent_ms = time.now_ms()
        self._first_ms: float | None = None
        self.first_event_ms: float | None = None
        view.record_sent(prompt_tokens, time.now_ms(), choice.position)

    def on_answer(self, answer: wire.ReplicaAnswer) -> None:
        """Takes the load and the weights that the answer tells."""
        now_ms = self._clock.now_ms()
        view = self._view
        view.heard_ms = now_ms
        if answer.load is not None:
            view.record_load(answer.load.running, answer.load.waiting, now_ms)
        if answer.weights is not None:
            view.seen_weights = answer.weights
            view.seen_ms = now_ms
        self._limits.note_answer(view, answer, self._sent_ms)
        self._signals.note_answer(view, answer, self._sent_ms)

    def on_first(self) -> None:
        """Takes the prompt as read."""
        self._first_ms = self._clock.now_ms()
        self._view.heard_ms = self._first_ms
        taken_ms = self._first_ms - self._sent_ms
        self.first_event_ms = taken_ms
        self._note_wait(taken_ms)
        self._read()

    def on_event(self) -> None:
        """Takes an event as a sign of life."""
        self._view.heard_ms = self._clock.now_ms()

    def ended(self, outcome: attempts.Outcome, events: int | None) -> None:
        """Takes the end of the attempt.

        Args:
          outcome: how it ended.
          events: events that a stream brought, None for a plain request.
        """
        now_ms = self._clock.now_ms()
        failure = outcome.failure
        if self._first_ms is None and failure is not None:
            self._note_unbegun()
        self._read()
        self._view.record_ended()
        if failure is None:
            self._view.record_success(now_ms)
            if events is not None and self._first_ms is not None:
                self._view.record_run(now_ms - self._first_ms, events)
            elif events is None:
                self._view.record_answer(now_ms - self._sent_ms, now_ms)
        elif failure.ran is errors.Ran.NO:
            self._spare(outcome, now_ms)
        elif outcome.answer is not None:
            self._view.record_error(now_ms)
        else:
            self._view.record_incomplete(now_ms)

    def left(self) -> None:
        """The caller left before the attempt ended."""
        if self._first_ms is None:
            self._note_unbegun()
        self._read()
        self._view.record_ended()

    def _note_wait(self, taken_ms: float) -> None:
        now_ms = self._clock.now_ms()
        if self._place is queue_position.QueuePosition.BEHIND:
            bias = self._view.behind_bias
            bias.record(taken_ms, self._unbiased_ms, now_ms)
        else:
            self._view.record_first_event(taken_ms, self._unbiased_ms, now_ms)

    def _note_unbegun(self) -> None:
        """Takes a wait that brought nothing, if it was longer than predicted.

        Only of requests that yield: those wait for room, and callers that
        leave are the only sign that there is none.
        """
        waited_ms = self._clock.now_ms() - self._sent_ms
        yielded = self._place is queue_position.QueuePosition.BEHIND
        if yielded and waited_ms > self._unbiased_ms:
            self._note_wait(waited_ms)

    def _read(self) -> None:
        if self._tokens is not None:
            self._view.record_prompt_read(self._tokens, self._place)
            self._tokens = None

    def _spare(self, outcome: attempts.Outcome, now_ms: clock.Millis) -> None:
        """Leaves a replica alone that was not reached or is not the one."""
        if outcome.answer is None:
            self._view.record_unreachable(now_ms)
            return
        if outcome.answer.status == errors.MISDIRECTED:
            wait_ms = replica_view.MISDIRECTED_BACKOFF_MS
            self._view.availability.back_off(wait_ms, now_ms)
            self._view.seen_weights = None
