"""Updates an entry's view of a replica from an attempt there."""

from __future__ import annotations

from marlramp import clock
from marlramp import errors
from marlramp.core.replicas import queue_position
from marlramp.core.replicas import upstream_choice
from marlramp.direct.calls import attempts
from marlramp.direct.calls import rate_limits
from marlramp.direct.calls import replica_signals
from marlramp.direct.calls import wire


class ReplicaObserver:
    """Updates the view of a replica from one attempt there.

    Attributes:
      first_event_ms: time from the send to the first event, None before the
        first event.
      survived: whether the run was recorded as one that no crash ended as it
        began.
    """

    def __init__(
        self,
        choice: upstream_choice.Choice,
        prompt_tokens: int,
        limits: rate_limits.RateLimits,
        signals: replica_signals.ReplicaSignals,
        time: clock.Clock,
    ) -> None:
        """Counts the request as sent to the selected replica.

        Args:
          choice: the replica and its predicted time to answer.
          prompt_tokens: number of tokens in the prompt.
          limits: records the rate limit that the answer announces.
          signals: records pauses and refusals, and that the replica leaves.
          time: the clock.
        """
        view = choice.view
        self._view = view
        self._unbiased_ms = choice.unbiased_ms
        self._position = choice.position
        self._unread_tokens: int | None = prompt_tokens
        self._limits = limits
        self._signals = signals
        self._clock = time
        self._sent_ms = time.now_ms()
        self._first_ms: float | None = None
        self._latest_ms = float("-inf")
        self.first_event_ms: float | None = None
        self.survived = False
        self._was_silent = False
        view.record_sent(prompt_tokens, time.now_ms(), choice.position)

    def on_answer(self, answer: wire.ReplicaAnswer) -> None:
        """Records what the head of the answer reports of the replica."""
        now_ms = self._clock.now_ms()
        view = self._view
        view.heard_ms = now_ms
        if answer.load is not None:
            view.record_load(answer.load.running, answer.load.waiting, now_ms)
        if answer.weights is not None:
            view.seen_weights = answer.weights
            view.seen_ms = now_ms
        self._limits.handle_answer(view, answer, self._sent_ms)
        self._signals.handle_answer(view, answer, self._sent_ms)
        if (
            answer.cold_left_ms is not None
            and answer.status != errors.MISDIRECTED
        ):
            view.record_cold_answer(answer.cold_left_ms, self._sent_ms, now_ms)

    def on_first_event(self) -> None:
        """Records the wait for the first event; the prompt was read."""
        self._first_ms = self._clock.now_ms()
        self._view.heard_ms = self._first_ms
        taken_ms = self._first_ms - self._sent_ms
        self.first_event_ms = taken_ms
        self._record_wait(taken_ms)
        self._record_prompt_read()

    def on_event(self) -> None:
        """Records that the replica has sent data."""
        self._latest_ms = self._clock.now_ms()
        self._view.heard_ms = self._latest_ms

    def record_silence(self) -> None:
        """Records that the replica has sent nothing for too long."""
        self._was_silent = True
        self._view.record_incomplete(self._clock.now_ms())

    @property
    def begun_ms(self) -> clock.Millis | None:
        """Clock reading at the first event, None without any."""
        return None if self._first_ms is None else clock.Millis(self._first_ms)

    @property
    def writing_ms(self) -> float | None:
        """Time from the first event to the latest one, None without any."""
        if self._first_ms is None:
            return None
        return max(0.0, self._latest_ms - self._first_ms)

    def record_end(self, outcome: attempts.Outcome, events: int | None) -> None:
        """Records the end of the attempt.

        Args:
          outcome: how the attempt ended.
          events: number of events of the stream, None for a plain request.
        """
        now_ms = self._clock.now_ms()
        failure = outcome.failure
        if self._first_ms is None and failure is not None:
            self._record_abandoned_wait()
        self._record_prompt_read()
        self._view.record_ended()
        if failure is None:
            self._view.record_success(now_ms)
            if events is not None and self._first_ms is not None:
                self._view.record_run(now_ms - self._first_ms, events)
            elif events is None:
                self._view.record_answer(now_ms - self._sent_ms, now_ms)
        elif failure.ran is errors.Ran.NO:
            self._back_off(outcome, now_ms)
        elif outcome.answer is not None:
            self._view.record_error(now_ms)
        elif not self._was_silent:
            self._view.record_incomplete(now_ms)

    def record_abandoned(self) -> None:
        """Records that the attempt was abandoned without an outcome.

        The caller left, or the request was withdrawn or never written.
        """
        if self._first_ms is None:
            self._record_abandoned_wait()
        self._record_prompt_read()
        self._view.record_ended()

    def _record_wait(self, taken_ms: float) -> None:
        now_ms = self._clock.now_ms()
        if self._position is queue_position.QueuePosition.BEHIND:
            bias = self._view.behind_bias
            bias.record(taken_ms, self._unbiased_ms, now_ms)
        else:
            self._view.record_first_event(taken_ms, self._unbiased_ms, now_ms)

    def _record_abandoned_wait(self) -> None:
        """Records a wait without a first event that exceeds the prediction.

        Only requests at the back of the queue count. They wait until the
        engine has a free slot, and callers that leave are the only sign that
        it has none.
        """
        waited_ms = self._clock.now_ms() - self._sent_ms
        behind = self._position is queue_position.QueuePosition.BEHIND
        if behind and waited_ms > self._unbiased_ms:
            self._record_wait(waited_ms)

    def _record_prompt_read(self) -> None:
        if self._unread_tokens is not None:
            self._view.record_prompt_read(self._unread_tokens, self._position)
            self._unread_tokens = None

    def _back_off(
        self, outcome: attempts.Outcome, now_ms: clock.Millis
    ) -> None:
        """Backs off from a replica that was unreachable or lost its address."""
        if outcome.answer is None:
            self._view.record_unreachable(now_ms)
            return
        if outcome.answer.status == errors.MISDIRECTED:
            self._view.record_misdirected(self._sent_ms, now_ms)
