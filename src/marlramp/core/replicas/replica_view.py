"""Holds what an entry knows about one replica.

The state combines three sources: the platform's list (which replicas exist and
which are leaving), the recent reports of the agents beside engines (load and
weights), and the outcomes of this entry's own requests, which take precedence
over the other two.
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Annotated

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import fleet
from marlramp.core.replicas import availability
from marlramp.core.replicas import breaker
from marlramp.core.replicas import cold_replica
from marlramp.core.replicas import path_latency
from marlramp.core.replicas import queue_position
from marlramp.core.replicas import send_limit
from marlramp.core.replicas import wait_bias

REPORT_FRESH_MS = 1_500.0
"""Age up to which an agent's report is valid as a whole. Agents report at least
every 500 ms."""

WEIGHTS_KNOWN_MS = 4_000.0
"""Age up to which at least the version in an agent's report is valid. An engine
doesn't return to an older version while it runs, but the list of replicas may
lag, and an agent may be silent for more than a second."""

FAILURES_MAX = 3
"""Number of consecutive failures that open a replica's circuit breaker."""

BREAKER_OPEN_MS = 1_500.0
"""Time for which an open breaker excludes a replica before it lets one trial
request through."""

MISDIRECTED_BACKOFF_MS = 400.0
"""Backoff of a replica that did not hold the expected weights: twice the delay
of an engine's own reports."""

TIME_SMOOTHING = 0.1
"""Weight of the newest answer in a replica's smoothed times."""

RUN_DEFAULT_MS = 1_300.0
"""Expected duration of a stream before the first one has ended: 18 engine steps
of about 70 ms."""

EVENT_DEFAULT_MS = 75.0
"""Expected time between two events before the first stream has ended: an engine
step of 51 ms, and the prompts that are read between two steps."""

BIAS_MIN = 0.5
BIAS_MAX = 3.0
"""Bounds of one observed ratio, so that a single stall does not make an engine
look too slow to receive requests."""

FAILURE_SMOOTHING = 0.15
"""Weight of the newest answer in a replica's share of failures. A replica that
fails two in five requests stands out after about six answers."""

FAILURE_HALF_LIFE_MS = 10_000.0
"""Half-life of the share of failures. A replica that receives no requests
because of its failures cannot otherwise show that it has recovered."""

ANSWERS_MAX = 10
"""Number of plain answers beyond which more of them add no confidence in a
replica's smoothed time."""

ANSWERS_HALF_CONFIDENCE = 1.0
"""Number of answers at which a smoothed time has half its full weight."""

ANSWERS_HALF_LIFE_MS = 10_000.0
"""Half-life of the number of answers, in milliseconds."""

TIME_DEFAULT_MS = 40.0
"""Expected time of a plain answer before the first one has arrived."""


def is_newer_start(born_ms: int | None, than_ms: int | None) -> bool:
    """Returns whether a start is known to be later than another.

    Args:
      born_ms: Unix time of the start, None if unknown.
      than_ms: Unix time of the other start, None if unknown.
    """
    return born_ms is not None and than_ms is not None and born_ms > than_ms


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An agent's report on the engine on its VM.

    Attributes:
      address: "host:port" of the engine.
      weights: version that requests may run on, 0 if the layers hold none or
        several, or may have been loaded from corrupt pieces.
      running: number of requests that hold a slot in the batch.
      waiting: number of requests that wait for a slot.
      pace: measured slowdown factor, 1 for an engine at its specified speed.
      opens: whether the engine accepts new requests; False around a change of
        weights.
      closes_in_ms: time until running requests are cut off for a change of
        weights, None if no change is planned.
      born_ms: Unix time of the engine's start, None if the platform doesn't
        report it.
      leaving: whether the engine reports that it is leaving.
      order_number: number of orders that the engine has accepted since its
        start.
      verified: whether the agent verified the pieces that the engine took with
        the last of these orders, which it may still load; False if it took
        them before the agent started.
    """

    address: Annotated[str, msgspec.Meta(max_length=ids.KEY_LENGTH_MAX)]
    weights: int
    running: int
    waiting: int
    pace: float
    opens: bool
    closes_in_ms: float | None = None
    born_ms: int | None = None
    leaving: bool = False
    order_number: int = 0
    verified: bool = True


class VerifiedLoad(msgspec.Struct, frozen=True):
    """The last load that an agent is known to have verified.

    Attributes:
      weights: version that the agent then reported, 0 for none.
      order_number: number of orders that the engine had accepted, `UNVERIFIED`
        if its last load is known not to be verified.
    """

    weights: int
    order_number: int


UNVERIFIED = -1
"""Order number of no load."""


def _ignore_change(replica_id: str) -> None:
    """Ignores a change of load."""


class ReplicaView(msgspec.Struct):
    """What this entry knows about one replica.

    The attributes `reported_ms`, `misdirected_ms`, `load_ms`, `seen_ms`,
    `answered_ms` and `heard_ms` are clock readings.

    Attributes:
      replica: the replica's record in the platform's list.
      report: the last report of the agent beside the replica.
      reported_ms: when the last report arrived.
      verified: the last load that the agent has verified at this start of the
        replica, None if no report says so.
      misdirected_ms: when the last request was sent to which the replica
        answered that it did not hold the expected weights.
      in_flight: number of this entry's requests at the replica.
      unread: prompt tokens of this entry's requests at the replica that have
        produced no event yet, without those queued at the back.
      behind: number of this entry's requests queued at the back.
      behind_unread: prompt tokens of this entry's requests queued at the back.
      others_in_flight: number of requests that other entries report at the
        replica.
      others_unread: like `unread`, for other entries.
      others_behind: like `behind`, for other entries.
      others_behind_unread: like `behind_unread`, for other entries.
      known_at_load: number of requests at the replica that this entry knew of
        when the load was last reported.
      running: number of running requests in the last load report.
      waiting: number of waiting requests in the last load report.
      load_ms: time of the last load report.
      seen_weights: version that the last answer stated, None before the first.
      seen_ms: when that answer arrived.
      answer_ms: smoothed time of a plain answer.
      answers: number of plain answers so far.
      answered_ms: when the last plain answer arrived.
      run_ms: smoothed time from a stream's first event to its end.
      event_ms: smoothed time between two events of a stream.
      bias: smoothed ratio of actual to predicted times to the first event, for
        this replica.
      front_bias: ratio of actual to predicted times to the first event over
        all replicas of the service. An entry among many sees a first event of
        each replica only once in seconds, and when the replicas fill up its
        predictions are wrong for all of them alike.
      behind_bias: like `front_bias`, for requests queued at the back.
      availability: whether the replica accepts requests, as its answers show.
      heard_ms: when any byte last arrived from the replica.
      breaker: the replica's circuit breaker.
      on_load_change: called with the replica's id when the number of this
        entry's requests at the replica changes.
      born_ms: Unix time of the newest start that was reported, None if none
        was.
      limit: the rate limit that the replica announced for all entries
        together, None if it announced none.
      cold: the replica's cold state, None if its service has no cold starts.
      latency: latency of the path to the replica.
      centre_latency: path latency over all replicas of the data centre.
    """

    replica: fleet.Replica
    breaker: breaker.Breaker
    on_load_change: Callable[[str], None] = _ignore_change
    report: LoadReport | None = None
    reported_ms: float = float("-inf")
    verified: VerifiedLoad | None = None
    misdirected_ms: float = float("-inf")
    in_flight: int = 0
    unread: int = 0
    behind: int = 0
    behind_unread: int = 0
    others_in_flight: int = 0
    others_unread: int = 0
    others_behind: int = 0
    others_behind_unread: int = 0
    known_at_load: int = 0
    running: int = 0
    waiting: int = 0
    load_ms: float = float("-inf")
    seen_weights: int | None = None
    seen_ms: float = float("-inf")
    answer_ms: float = TIME_DEFAULT_MS
    answers: int = 0
    answered_ms: float = float("-inf")
    run_ms: float = RUN_DEFAULT_MS
    event_ms: float = EVENT_DEFAULT_MS
    bias: float = 1.0
    front_bias: wait_bias.WaitBias = msgspec.field(
        default_factory=wait_bias.WaitBias
    )
    behind_bias: wait_bias.WaitBias = msgspec.field(
        default_factory=wait_bias.WaitBias
    )
    _failure_share: float = 0.0
    _outcome_ms: float = float("-inf")
    availability: availability.Availability = msgspec.field(
        default_factory=availability.Availability
    )
    heard_ms: float = float("-inf")
    born_ms: int | None = None
    limit: send_limit.SendLimit | None = None
    cold: cold_replica.ColdReplica | None = None
    latency: path_latency.PathLatency = msgspec.field(
        default_factory=path_latency.PathLatency
    )
    centre_latency: path_latency.PathLatency = msgspec.field(
        default_factory=path_latency.PathLatency
    )

    def weights(self, now_ms: clock.Millis) -> int:
        """Returns the version that requests may run on, 0 for none.

        An engine loads pieces without a check. A version that was loaded by an
        order counts once the agent has verified it.
        """
        report_age_ms = now_ms - self.reported_ms
        if self.report is not None and report_age_ms < REPORT_FRESH_MS:
            reported = self._trusted_report_weights(self.report)
            if self.seen_ms > self.reported_ms:
                return max(reported, self._trusted_seen_weights())
            return reported
        listed = 0 if self._is_listed_older else self._trusted_listed_weights()
        late = self._late_weights(report_age_ms)
        return max(listed, late, self._trusted_seen_weights())

    def _trusted_report_weights(self, report: LoadReport) -> int:
        """Returns the version in a report, 0 if it is not verified.

        An agent that has just started does not know how its engine's weights
        were loaded. They count unless another load was verified before.
        """
        if report.verified or self.verified is None:
            return report.weights
        is_known = self.verified.order_number == report.order_number
        return report.weights if is_known else 0

    def _trusted_listed_weights(self) -> int:
        """Returns the version in the list, 0 if it is not verified."""
        order_number = self.replica.order_number
        is_verified = (
            self.verified is not None
            and self.verified.order_number == order_number
        )
        if order_number == 0 or is_verified:
            return self.replica.weights or 0
        return 0

    def _trusted_seen_weights(self) -> int:
        """Returns the version in the last answer, 0 if it is not verified."""
        seen = self.seen_weights or 0
        if self.verified is not None:
            return seen if seen == self.verified.weights else 0
        return seen if self.replica.order_number == 0 else 0

    def record_report(
        self, report: LoadReport, made_ms: clock.Millis, *, is_held: bool
    ) -> None:
        """Records a report of the agent beside the replica.

        Args:
          report: the report.
          made_ms: when it was made, as far as is known.
          is_held: whether it arrived before this start of the replica was
            known, and may be of an earlier one.
        """
        self.born_ms = report.born_ms or self.born_ms
        self.report = report
        self.reported_ms = made_ms
        if report.verified and not is_held:
            self.verified = VerifiedLoad(report.weights, report.order_number)
        elif report.weights == 0:
            self.verified = VerifiedLoad(0, UNVERIFIED)
        self.record_load(report.running, report.waiting, made_ms)

    def _late_weights(self, report_age_ms: float) -> int:
        """Returns the version in a late report.

        Returns:
          0 if it is no longer valid, or the replica has denied it since.
        """
        if self.report is None or report_age_ms >= WEIGHTS_KNOWN_MS:
            return 0
        if self.misdirected_ms > self.reported_ms:
            return 0
        return self._trusted_report_weights(self.report)

    @property
    def _is_listed_older(self) -> bool:
        """Whether the list still shows an earlier start of the replica."""
        return is_newer_start(self.born_ms, self.replica.born_ms)

    def accepts_new(self, now_ms: clock.Millis) -> bool:
        """Returns whether the replica is believed to accept new requests."""
        return self.availability.may_send(now_ms) and self.is_reported_open(
            now_ms
        )

    def is_reported_open(self, now_ms: clock.Millis) -> bool:
        """Returns whether no recent agent report says that it is closed."""
        fresh = now_ms - self.reported_ms < REPORT_FRESH_MS
        return self.report is None or not fresh or self.report.opens

    def is_out_of_contact(self, now_ms: clock.Millis) -> bool:
        """Returns whether reports on the replica stopped and it is not heard.

        Its load is unknown, and it may be unreachable. A replica that no agent
        has reported on since it was listed is not out of contact.
        """
        if self.report is None:
            return False
        heard_ms = max(self.reported_ms, self.heard_ms)
        return now_ms - heard_ms >= REPORT_FRESH_MS

    def is_likely_lost(self, now_ms: clock.Millis) -> bool:
        """Returns whether the replica will likely fail the next request.

        Requests have failed for as long as a report is valid, and neither the
        replica nor its agent has been heard meanwhile. A plain replica is not
        taken as lost, since no agent would report its return.
        """
        return self._lost_ms(now_ms) >= REPORT_FRESH_MS

    def awaits_report(self, now_ms: clock.Millis) -> bool:
        """Returns whether a replica that is likely lost should get no trial.

        Its agent may still report its return. A trial would cost its caller one
        of few attempts.
        """
        return REPORT_FRESH_MS <= self._lost_ms(now_ms) < WEIGHTS_KNOWN_MS

    def _lost_ms(self, now_ms: clock.Millis) -> float:
        """Returns for how long requests have failed without a sign of life."""
        has_agent = self.report is not None or self.replica.weights is not None
        failing_since_ms = self.breaker.failing_since_ms
        if not has_agent or failing_since_ms is None:
            return 0.0
        sound_ms = max(self.reported_ms, self.heard_ms, failing_since_ms)
        return now_ms - sound_ms

    def accepts_assigned(self, now_ms: clock.Millis) -> bool:
        """Returns whether a request assigned to the replica may be written."""
        healthy = self.replica.state is fleet.ReplicaState.HEALTHY
        return healthy and self.availability.is_open(now_ms)

    def cold_wait_ms(self, now_ms: clock.Millis) -> float:
        """Returns the time until a cold replica may be sent a request."""
        return 0.0 if self.cold is None else self.cold.wait_ms(now_ms)

    def record_written(self, now_ms: clock.Millis) -> None:
        """Counts a request that is written to the replica now."""
        if self.cold is not None:
            self.cold.record_sent(now_ms)

    def record_cold_answer(
        self, left_ms: float, sent_ms: float, now_ms: clock.Millis
    ) -> None:
        """Records for how much longer an answer says the replica is cold.

        An answer to a request that was sent before the replica may have
        restarted may come from the earlier start, and is ignored.

        Args:
          left_ms: how much longer the replica is cold, 0 if it is not.
          sent_ms: when the request was sent.
          now_ms: when the answer arrived.
        """
        if self.cold is not None and self.cold.suspected_ms < sent_ms:
            self.cold.record_answer(left_ms, now_ms)

    def suspect_cold(self, now_ms: clock.Millis) -> None:
        """Records that the replica may have restarted and be cold."""
        if self.cold is not None:
            self.cold.suspect(now_ms)

    def limit_wait_ms(self, now_ms: clock.Millis) -> float:
        """Returns the expected wait for the replica's rate limit."""
        return 0.0 if self.limit is None else self.limit.wait_ms(now_ms)

    def load(self, now_ms: clock.Millis) -> float:
        """Returns the estimated number of requests at the replica now.

        The last load report counts all requests. Changes since that report are
        known for the requests of this entry and those that other entries
        report.
        """
        known = self.in_flight + self.others_in_flight
        if now_ms - self.load_ms > REPORT_FRESH_MS:
            return float(known)
        reported = self.running + self.waiting + known - self.known_at_load
        return float(max(known, reported))

    def load_ahead(
        self, position: queue_position.QueuePosition, now_ms: clock.Millis
    ) -> float:
        """Returns the number of requests that run before a new request.

        Requests queued at the back yield to a new request in front, except
        those that already hold a slot in the batch. The share that yields is
        known only for requests that entries report, and is assumed to be equal
        for all others. Where three regions share the engines, two thirds of
        all waiting requests yield; without this rule four in ten requests that
        could begin in time were classed as late.

        Args:
          position: position of the new request in the engine's queue.
          now_ms: the time.
        """
        load = self.load(now_ms)
        if position is queue_position.QueuePosition.BEHIND:
            return load
        waiting = max(0.0, load - self.replica.slots)
        return load - waiting * self._yielding_share()

    def _yielding_share(self) -> float:
        """Returns the share of unread prompt tokens queued at the back."""
        behind = self.behind_unread + self.others_behind_unread
        unread = behind + self.unread + self.others_unread
        return behind / unread if unread else 0.0

    def unread_ahead(self, position: queue_position.QueuePosition) -> int:
        """Returns the known prompt tokens that are read before a request's."""
        front = self.unread + self.others_unread
        if position is queue_position.QueuePosition.FRONT:
            return front
        return front + self.behind_unread + self.others_behind_unread

    def record_load(
        self, running: int, waiting: int, now_ms: clock.Millis
    ) -> None:
        """Records the current load that the replica or its agent reports."""
        self.running = running
        self.waiting = waiting
        self.load_ms = now_ms
        self.known_at_load = self.in_flight + self.others_in_flight

    def record_sent(
        self,
        prompt_tokens: int,
        now_ms: clock.Millis,
        position: queue_position.QueuePosition = (
            queue_position.QueuePosition.FRONT
        ),
    ) -> None:
        """Counts a request that was sent to the replica."""
        self.in_flight += 1
        if position is queue_position.QueuePosition.BEHIND:
            self.behind += 1
            self.behind_unread += prompt_tokens
        else:
            self.unread += prompt_tokens
        self.breaker.record_start(now_ms)
        self.availability.record_sent(now_ms)
        self.on_load_change(self.replica.replica_id)

    def record_prompt_read(
        self,
        prompt_tokens: int,
        position: queue_position.QueuePosition = (
            queue_position.QueuePosition.FRONT
        ),
    ) -> None:
        """Counts a request whose prompt was read, or that ended before."""
        if position is queue_position.QueuePosition.BEHIND:
            self.behind = max(0, self.behind - 1)
            self.behind_unread = max(0, self.behind_unread - prompt_tokens)
        else:
            self.unread = max(0, self.unread - prompt_tokens)
        self.on_load_change(self.replica.replica_id)

    def record_ended(self) -> None:
        """Counts a request that ended at the replica."""
        self.in_flight -= 1
        self.on_load_change(self.replica.replica_id)

    def record_answer(self, taken_ms: float, now_ms: clock.Millis) -> None:
        """Records the duration of a successful plain answer.

        The first answers have equal weight, so that a replica that receives few
        requests is judged by them and not by the default.
        """
        self.answers += 1
        weight = max(TIME_SMOOTHING, 1.0 / self.answers)
        self.answer_ms += weight * (taken_ms - self.answer_ms)
        self.answered_ms = now_ms

    def likely_answer_ms(self, least_ms: float, now_ms: clock.Millis) -> float:
        """Returns the expected time of a plain answer.

        A replica with few or old answers is assumed to be nearly as fast as the
        fastest one. Otherwise it would receive no request that could show its
        speed.

        Args:
          least_ms: the least smoothed answer time of the service's replicas.
          now_ms: the time.
        """
        recent = min(self.answers, ANSWERS_MAX)
        if recent:
            age_ms = now_ms - self.answered_ms
            recent *= 0.5 ** (age_ms / ANSWERS_HALF_LIFE_MS)
        confidence = recent / (recent + ANSWERS_HALF_CONFIDENCE)
        return least_ms + confidence * max(0.0, self.answer_ms - least_ms)

    def record_latency(self, latency_ms: float, now_ms: clock.Millis) -> None:
        """Records the time that opening a connection to the replica took."""
        self.latency.record(latency_ms, now_ms)
        self.centre_latency.record(latency_ms, now_ms)

    def record_latency_at_least(
        self, latency_ms: float, now_ms: clock.Millis
    ) -> None:
        """Records the time spent so far on opening an unfinished connection."""
        self.latency.record_at_least(latency_ms, now_ms)
        self.centre_latency.record_at_least(latency_ms, now_ms)

    def path_latency_ms(self, now_ms: clock.Millis) -> float:
        """Returns the path latency to the replica to allow for, 0 if unknown.

        Data that is sent now is expected to arrive within this time.
        """
        return path_latency.expected_ms(
            self.latency, self.centre_latency, now_ms
        )

    def latency_beyond_margin_ms(self, now_ms: clock.Millis) -> float:
        """Returns by how much the path latency exceeds the fixed margins."""
        return path_latency.beyond_margin_ms(self.path_latency_ms(now_ms))

    def record_run(self, taken_ms: float, events: int) -> None:
        """Records the time from a stream's first event to its end."""
        self.run_ms += TIME_SMOOTHING * (taken_ms - self.run_ms)
        if events > 1:
            event_ms = taken_ms / (events - 1)
            self.event_ms += TIME_SMOOTHING * (event_ms - self.event_ms)

    def closes_in_ms(self, now_ms: clock.Millis) -> float:
        """Returns the time until the engine closes to change its weights.

        The time is infinite if no change is planned, and negative if it has
        passed. A change that was to come before an old report expired has been
        made or given up since.
        """
        report = self.report
        if report is None or report.closes_in_ms is None:
            return float("inf")
        age_ms = now_ms - self.reported_ms
        left_ms = report.closes_in_ms - age_ms
        if left_ms < 0.0 and age_ms >= REPORT_FRESH_MS:
            return float("inf")
        return left_ms

    def bias_of(
        self, position: queue_position.QueuePosition, now_ms: clock.Millis
    ) -> float:
        """Returns the factor that corrects a predicted time to first event."""
        shared = self.shared_bias_of(position, now_ms)
        if position is queue_position.QueuePosition.BEHIND:
            return shared
        return self.bias * shared

    def shared_bias_of(
        self, position: queue_position.QueuePosition, now_ms: clock.Millis
    ) -> float:
        """Returns the correction factor over all replicas of the service."""
        if position is queue_position.QueuePosition.BEHIND:
            return self.behind_bias.factor(now_ms)
        return max(1.0, self.front_bias.factor(now_ms))

    def record_first_event(
        self, taken_ms: float, predicted_ms: float, now_ms: clock.Millis
    ) -> None:
        """Records the time to a first event and its prediction.

        Args:
          taken_ms: the time that the first event took.
          predicted_ms: the prediction without any correction factor.
          now_ms: the time.
        """
        shared = max(1.0, self.front_bias.factor(now_ms))
        ratio = taken_ms / max(1.0, predicted_ms * shared)
        ratio = min(BIAS_MAX, max(BIAS_MIN, ratio))
        self.front_bias.record(taken_ms, predicted_ms * self.bias, now_ms)
        self.bias += TIME_SMOOTHING * (ratio - self.bias)

    def failure_share(self, now_ms: clock.Millis) -> float:
        """Returns the smoothed share of recent answers that failed."""
        age_ms = now_ms - self._outcome_ms
        return self._failure_share * math.pow(
            0.5, age_ms / FAILURE_HALF_LIFE_MS
        )

    def record_success(self, now_ms: clock.Millis) -> None:
        """Counts a successful answer."""
        self._record_outcome(0.0, now_ms)
        self.breaker.record_success()

    def record_error(self, now_ms: clock.Millis) -> None:
        """Counts an answer that reports a failure."""
        self._record_outcome(1.0, now_ms)

    def record_incomplete(self, now_ms: clock.Millis) -> None:
        """Counts a request that received no complete answer."""
        self.record_error(now_ms)
        self.breaker.record_failure(now_ms)

    def record_unreachable(self, now_ms: clock.Millis) -> None:
        """Counts a connection that could not be opened.

        The replica is down, unreachable or full, so the breaker opens at once.
        If several requests tried it again, each would lose one of its few
        attempts.
        """
        self.record_error(now_ms)
        self.breaker.trip(now_ms)
        self.suspect_cold(now_ms)

    def record_misdirected(self, sent_ms: float, now_ms: clock.Millis) -> None:
        """Counts an answer that the replica lacks the expected weights.

        Args:
          sent_ms: when the request was sent; an older report is not valid.
          now_ms: the time.
        """
        self.availability.back_off(MISDIRECTED_BACKOFF_MS, now_ms)
        self.seen_weights = None
        self.misdirected_ms = sent_ms

    def _record_outcome(self, failed: float, now_ms: clock.Millis) -> None:
        share = self.failure_share(now_ms)
        self._failure_share = share + FAILURE_SMOOTHING * (failed - share)
        self._outcome_ms = now_ms
