"""State of one caller's request on the grants path over all its attempts.

Each attempt runs under a grant, a single-use permission of an agent.
"""

from __future__ import annotations

import msgspec

from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import assembly
from marlramp.core.grant_calls import queueing
from marlramp.core.requests import retries


class CallSpec(msgspec.Struct, frozen=True):
    """A request as its caller sent it.

    Attributes:
      call_id: the caller's request id, unchanged over all attempts.
      customer_id: customer that the request is accounted to.
      service_id: service that runs the request.
      priority: priority of the request.
      deadline_ms: deadline as a reading of the entry's clock.
      idempotent: whether the request may run more than once.
      method: HTTP method.
      path: path at the upstream.
      content_type: type of the body.
      body: the body.
      stream: whether the answer is a stream of events.
      tokens: tokens that the request may use, for limits and fairness.
      prefix: digest of the prompt prefix, by which agents whose upstream
        probably caches the prefix are recognised; empty if there is none.
    """

    call_id: ids.RequestId
    customer_id: ids.CustomerId
    service_id: ids.ServiceId
    priority: queueing.Priority
    deadline_ms: float
    idempotent: bool
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    tokens: int
    prefix: str


class Retry(msgspec.Struct, frozen=True):
    """Decision to send a request again.

    Attributes:
      reason: why it is sent again.
      delay_ms: time to wait before the request is sent again.
      version: version that the replica must have, empty if any will do.
      resume_from: parts of the answer that the caller already has.
    """

    reason: retries.RetryReason
    delay_ms: float
    version: ids.VersionId
    resume_from: int


class CallState:
    """Progress of one request over its attempts.

    Attributes:
      spec: the request.
      assembly: the parts of the answer.
      attempts: number of attempts begun.
      maybe_ran: whether an upstream may have run the request.
      failed_vms: VMs at which an attempt failed.
    """

    def __init__(
        self, spec: CallSpec, retries_max: int, backoff_base_ms: float
    ) -> None:
        """Starts before the first attempt.

        Args:
          spec: the request.
          retries_max: most retries.
          backoff_base_ms: half the bound of the first backoff. The bound
            doubles with each attempt, up to 16 times this value.
        """
        self.spec = spec
        self.assembly = assembly.Assembly()
        self.attempts = 0
        self.maybe_ran = False
        self.failed_vms: set[ids.VmId] = set()
        self._retries_max = retries_max
        self._backoff_base_ms = backoff_base_ms

    @property
    def resume_from(self) -> int:
        """Number of parts already delivered to the caller."""
        return self.assembly.next_seq

    @property
    def needed_version(self) -> ids.VersionId:
        """Version that a further attempt must run on, empty if any will do."""
        if self.resume_from == 0:
            return ids.VersionId("")
        return self.assembly.version or ids.VersionId("")

    def next_step(
        self,
        failure: errors.CallError,
        vm_id: ids.VmId,
        budget: retries.RetryBudget,
        now_ms: float,
    ) -> Retry | errors.CallError:
        """Decides between a retry and an error after a failed attempt.

        Args:
          failure: why the attempt failed.
          vm_id: VM at which it failed.
          budget: retry budget, which a retry reduces by one.
          now_ms: the time.

        Returns:
          A retry, or the final error for the caller. A request that is not
          a stream is not retried once the caller has a part of its answer.
        """
        self.failed_vms.add(vm_id)
        self.maybe_ran |= failure.ran is not errors.Ran.NO
        # Delivered parts are kept, so that a retry resumes after them.
        self.assembly.restart()
        final = self._final(failure)
        reason = retries.retry_reason(failure, idempotent=self.spec.idempotent)
        if reason is None or self.attempts > self._retries_max:
            return final
        delay_ms = retries.backoff_ms(
            self.attempts, self._backoff_base_ms, self._backoff_base_ms * 16
        )
        if now_ms + delay_ms >= self.spec.deadline_ms:
            return final
        if self.resume_from > 0 and not self.spec.stream:
            return final
        if not budget.try_spend():
            return final
        return Retry(reason, delay_ms, self.needed_version, self.resume_from)

    def _final(self, failure: errors.CallError) -> errors.CallError:
        """Returns the failure, with whether an upstream ran the request.

        `Ran.YES` if the caller already has a part of the answer, and
        `Ran.UNKNOWN` if this attempt did not run but an earlier one may have;
        otherwise the value of the failure.
        """
        ran = failure.ran
        if ran is errors.Ran.NO and self.maybe_ran:
            ran = errors.Ran.UNKNOWN
        if self.resume_from > 0:
            ran = errors.Ran.YES
        return errors.CallError(
            failure.kind,
            failure.detail,
            ran=ran,
            retry_after_ms=failure.retry_after_ms,
        )
