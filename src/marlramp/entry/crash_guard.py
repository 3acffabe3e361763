"""Refuses requests that crash the upstreams that run them.

Agents report crashes of their upstreams with the requests that were in flight
there. Each entry judges by the reports of its agents and by its own calls that
succeeded.
"""

from __future__ import annotations

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp.core.crashes import crash_record
from marlramp.core.crashes import possible_causes
from marlramp.core.grant_calls import calls
from marlramp.core.requests import request_fingerprint
from marlramp.protocol import messages
from marlramp.shell import block_logs

TICK_MS = 1_000.0
"""Time between two removals of old crashes."""


class CrashGuard:
    """Requests that an entry must not send to upstreams again."""

    def __init__(self, totals: counters.Counters, time: clock.Clock) -> None:
        """Starts without crashes."""
        self._totals = totals
        self._clock = time
        self._record = crash_record.CrashRecord()
        self._ticked_ms = float("-inf")

    def handle_crash(self, message: messages.EngineCrashed) -> None:
        """Records a crash that an agent reports."""
        self._record.merge([message.crash], self._clock.now_ms())
        block_logs.log_changes(self._record.pop_block_changes(), self._totals)

    def record_success(self, spec: calls.CallSpec) -> None:
        """Records that a request ran without a crash."""
        self._record.record_success(_fingerprint(spec), self._clock.now_ms())

    def refusal(self, state: calls.CallState) -> errors.CallError | None:
        """Returns why a request must not be sent now, None if it may be.

        A request at three crashes is refused for good. One at two crashes is
        not sent again after an attempt that may have run.
        """
        fingerprint = _fingerprint(state.spec)
        blocked = self._record.is_blocked(fingerprint)
        causes = possible_causes.PossibleCauses(fingerprint)
        again = state.maybe_ran and self._record.runs_once(causes)
        if not blocked and not again:
            return None
        ran = errors.Ran.UNKNOWN if state.maybe_ran else errors.Ran.NO
        if state.resume_from > 0:
            ran = errors.Ran.YES
        return errors.CallError(errors.ErrorKind.CRASHES_UPSTREAMS, ran=ran)

    def tick(self) -> None:
        """Drops old crashes."""
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms >= TICK_MS:
            self._ticked_ms = now_ms
            self._record.tick(now_ms)
            changes = self._record.pop_block_changes()
            block_logs.log_changes(changes, self._totals)


def _fingerprint(spec: calls.CallSpec) -> ids.Fingerprint:
    return request_fingerprint.upstream_fingerprint(
        spec.method, spec.path, spec.body
    )
