"""One replica as an entry believes it to be.

Three sources meet here: the platform's list (who exists, who is leaving), the
reports of the agents beside engines (load and weights, fresh), and what this
entry saw itself on its own requests, which goes before both.
"""

from __future__ import annotations

from collections.abc import Callable
import math

import msgspec

from marlramp import clock
from marlramp.core import availability
from marlramp.core import breaker
from marlramp.core import fleet
from marlramp.core import queue_place
from marlramp.core import send_limit
from marlramp.core import wait_bias
from marlramp.core import way_times

REPORT_FRESH_MS = 1_500.0
"""An agent's report counts this long; agents report every 500 ms or sooner."""

FAILURES_MAX = 3
"""Failures in a row that open a replica's breaker."""

BREAKER_OPEN_MS = 1_500.0
"""How long a failing replica gets no requests, but for one trial."""

MISDIRECTED_BACKOFF_MS = 400.0
"""How long a replica that did not hold the expected weights is spared: two
of an engine's own reporting lags."""

TIME_SMOOTHING = 0.1
"""Weight of the newest answer in a replica's smoothed time."""

RUN_DEFAULT_MS = 1_300.0
"""Expected time of a stream before the first one ended: 18 passes of some
70 ms."""

EVENT_DEFAULT_MS = 75.0
"""Expected time between two events before the first stream ended: a pass of
51 ms, and the prompts read between two passes."""

BIAS_MIN = 0.5
BIAS_MAX = 3.0
"""Bounds of one observation, so that one stall does not close an engine."""

FAILURE_SMOOTHING = 0.15
"""Weight of the newest answer in a replica's share of failures: a replica
that fails two in five requests stands out after some six answers."""

FAILURE_HALF_LIFE_MS = 10_000.0
"""Time after which failures count half: a replica that gets nothing for them
shows no other way that it serves again."""

ANSWERS_MAX = 10
"""Plain answers that tell most of what a replica's smoothed time can tell."""

ANSWERS_DOUBT = 1.0
"""Answers at which a smoothed time counts half."""

ANSWERS_HALF_LIFE_MS = 10_000.0
"""Time after which answers count as half as many."""

TIME_DEFAULT_MS = 40.0
"""Expected time of a plain answer before the first one was seen."""


def is_newer_start(born_ms: int | None, than_ms: int | None) -> bool:
    """Returns whether a start is known to be later than another."""
    return born_ms is not None and than_ms is not None and born_ms > than_ms


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What an agent reports of the engine on its VM.

    Attributes:
      address: "host:port" of the engine.
      weights: version that all layers hold, 0 if none or several.
      running: requests that have a place.
      waiting: requests that wait.
      pace: measured slowness, 1 for none.
      opens: whether the engine takes new requests; False around a change of
        weights.
      closes_in_ms: time until what runs there is cut for a change of weights,
        None if none is planned.
      born_ms: Unix time of the engine's start, None where the platform does
        not say.
      leaving: whether the engine says that it leaves.
    """

    address: str
    weights: int
    running: int
    waiting: int
    pace: float
    opens: bool
    closes_in_ms: float | None = None
    born_ms: int | None = None
    leaving: bool = False


def _ignore(replica_id: str) -> None:
    """Takes a change that nobody listens to."""


class ReplicaView(msgspec.Struct):
    """What this entry believes of one replica.

    Attributes:
      replica: its entry in the list.
      report: the last report of the agent beside it.
      reported_ms: when that arrived.
      in_flight: own requests there.
      unread: prompt tokens of own requests there that brought no event yet,
        without those that wait behind the others.
      behind: own requests that wait behind the others there.
      behind_unread: their prompt tokens.
      others_in_flight: requests of other entries there, as far as they tell.
      others_unread: like `unread`, of other entries.
      others_behind: like `behind`, of other entries.
      others_behind_unread: their prompt tokens.
      known_then: requests there that this entry knew of at the last word on
        its load.
      running: requests running there at the last word on its load.
      waiting: requests waiting there at that time.
      load_ms: time of the last word on its load.
      seen_weights: version last seen on an answer, None before.
      seen_ms: when that was.
      answer_ms: smoothed time of a plain answer.
      answers: plain answers so far.
      answered_ms: when the last of them came.
      run_ms: smoothed time from a stream's first event to its end.
      event_ms: smoothed time between two events of a stream.
      bias: smoothed ratio of actual to predicted times to the first event.
      front_bias: the same over all replicas of the service: an entry among
        many sees a first event of each replica once in seconds, and is wrong
        about all of them alike when they fill up.
      behind_bias: the same of requests that wait behind the others.
      availability: when it takes requests, by its own answers.
      heard_ms: when any byte of it arrived last.
      breaker: its circuit breaker.
      on_load_change: takes its id when the own requests there changed.
      born_ms: Unix time of its newest start heard of, None if none was told.
      limit: the limit that it names over all entries together, None while it
        names none.
      ways: what opening connections to it took.
      centre_ways: the same over all replicas of its data centre.
    """

    replica: fleet.Replica
    breaker: breaker.Breaker
    on_load_change: Callable[[str], None] = _ignore
    report: LoadReport | None = None
    reported_ms: float = float("-inf")
    in_flight: int = 0
    unread: int = 0
    behind: int = 0
    behind_unread: int = 0
    others_in_flight: int = 0
    others_unread: int = 0
    others_behind: int = 0
    others_behind_unread: int = 0
    known_then: int = 0
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
    ways: way_times.WayTimes = msgspec.field(default_factory=way_times.WayTimes)
    centre_ways: way_times.WayTimes = msgspec.field(
        default_factory=way_times.WayTimes
    )

    def weights(self, now_ms: clock.Millis) -> int:
        """Returns the version believed to be loaded, 0 if none is."""
        report_age_ms = now_ms - self.reported_ms
        if self.report is not None and report_age_ms < REPORT_FRESH_MS:
            if self.seen_ms > self.reported_ms:
                return max(self.report.weights, self.seen_weights or 0)
            return self.report.weights
        listed = 0 if self._is_listed_older else self.replica.weights or 0
        return max(listed, self.seen_weights or 0)

    @property
    def _is_listed_older(self) -> bool:
        """Whether the list still has an earlier start of this replica."""
        return is_newer_start(self.born_ms, self.replica.born_ms)

    def opens(self, now_ms: clock.Millis) -> bool:
        """Returns whether it takes new requests as far as is known."""
        return self.availability.may_send(now_ms) and self.is_reported_open(
            now_ms
        )

    def is_reported_open(self, now_ms: clock.Millis) -> bool:
        """Returns whether the agent beside it does not say otherwise."""
        fresh = now_ms - self.reported_ms < REPORT_FRESH_MS
        return self.report is None or not fresh or self.report.opens

    def takes(self, now_ms: clock.Millis) -> bool:
        """Returns whether a request that was meant for it may be written."""
        healthy = self.replica.state is fleet.ReplicaState.HEALTHY
        return healthy and self.availability.is_open(now_ms)

    def limit_wait_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long its limit is expected to hold a request back."""
        return 0.0 if self.limit is None else self.limit.wait_ms(now_ms)

    def load(self, now_ms: clock.Millis) -> float:
        """Returns the requests believed to be there now.

        The last word on its load counts all requests; what came and went
        since is known of the own requests and of those that others tell.
        """
        known = self.in_flight + self.others_in_flight
        if now_ms - self.load_ms > REPORT_FRESH_MS:
            return float(known)
        told = self.running + self.waiting + known - self.known_then
        return float(max(known, told))

    def load_ahead(
        self, place: queue_place.QueuePlace, now_ms: clock.Millis
    ) -> float:
        """Returns the requests there that a request of some place waits for.

        Requests that wait behind the others yield to one that goes in front;
        those of them that have a place in the batch already do not. Of the
        requests that nobody told of, as many are taken to yield as of those
        that are known: two thirds of all waiting ones where three regions
        share the engines, without which four in ten requests that could begin
        in time were taken to be late.
        """
        load = self.load(now_ms)
        if place is queue_place.QueuePlace.BEHIND:
            return load
        waiting = max(0.0, load - self.replica.slots)
        return load - waiting * self._yielding_share()

    def _yielding_share(self) -> float:
        """Returns the part of the unbegun requests that yield to others."""
        behind = self.behind_unread + self.others_behind_unread
        unread = behind + self.unread + self.others_unread
        return behind / unread if unread else 0.0

    def unread_ahead(self, place: queue_place.QueuePlace) -> int:
        """Returns the prompt tokens that are read before a request's own."""
        front = self.unread + self.others_unread
        if place is queue_place.QueuePlace.FRONT:
            return front
        return front + self.behind_unread + self.others_behind_unread

    def note_load(
        self, running: int, waiting: int, now_ms: clock.Millis
    ) -> None:
        """Takes a word on its load that is true now."""
        self.running = running
        self.waiting = waiting
        self.load_ms = now_ms
        self.known_then = self.in_flight + self.others_in_flight

    def note_sent(
        self,
        prompt_tokens: int,
        now_ms: clock.Millis,
        place: queue_place.QueuePlace = queue_place.QueuePlace.FRONT,
    ) -> None:
        """Counts a request sent there."""
        self.in_flight += 1
        if place is queue_place.QueuePlace.BEHIND:
            self.behind += 1
            self.behind_unread += prompt_tokens
        else:
            self.unread += prompt_tokens
        self.breaker.record_start(now_ms)
        self.availability.record_sent(now_ms)
        self.on_load_change(self.replica.replica_id)

    def note_read(
        self,
        prompt_tokens: int,
        place: queue_place.QueuePlace = queue_place.QueuePlace.FRONT,
    ) -> None:
        """Counts a request whose prompt was read, or that ended unread."""
        if place is queue_place.QueuePlace.BEHIND:
            self.behind = max(0, self.behind - 1)
            self.behind_unread = max(0, self.behind_unread - prompt_tokens)
        else:
            self.unread = max(0, self.unread - prompt_tokens)
        self.on_load_change(self.replica.replica_id)

    def note_ended(self) -> None:
        """Counts a request that ended there."""
        self.in_flight -= 1
        self.on_load_change(self.replica.replica_id)

    def note_answered(self, taken_ms: float, now_ms: clock.Millis) -> None:
        """Takes the time of a good plain answer.

        The first ones count alike: a replica that gets few requests is known by
        them, not by what was assumed before.
        """
        self.answers += 1
        weight = max(TIME_SMOOTHING, 1.0 / self.answers)
        self.answer_ms += weight * (taken_ms - self.answer_ms)
        self.answered_ms = now_ms

    def likely_answer_ms(self, least_ms: float, now_ms: clock.Millis) -> float:
        """Returns the time of a plain answer, as far as it is known.

        One that is known by few or old answers counts as nearly as fast as the
        fastest, or it would get no request that shows how fast it is.

        Args:
          least_ms: the least smoothed time of the service's replicas.
          now_ms: the time.
        """
        recent = min(self.answers, ANSWERS_MAX)
        if recent:
            age_ms = now_ms - self.answered_ms
            recent *= 0.5 ** (age_ms / ANSWERS_HALF_LIFE_MS)
        known_share = recent / (recent + ANSWERS_DOUBT)
        return least_ms + known_share * max(0.0, self.answer_ms - least_ms)

    def note_way(self, way_ms: float, now_ms: clock.Millis) -> None:
        """Takes what opening a connection to it took."""
        self.ways.note(way_ms, now_ms)
        self.centre_ways.note(way_ms, now_ms)

    def note_way_at_least(self, way_ms: float, now_ms: clock.Millis) -> None:
        """Takes what opening a connection to it has taken so far."""
        self.ways.note_at_least(way_ms, now_ms)
        self.centre_ways.note_at_least(way_ms, now_ms)

    def way_ms(self, now_ms: clock.Millis) -> float:
        """Returns the way to it that is to be reckoned with now.

        What is sent to it is there by then, 0 if nothing is known.
        """
        return way_times.way_ms(self.ways, self.centre_ways, now_ms)

    def way_beyond_short_ms(self, now_ms: clock.Millis) -> float:
        """Returns by how much that way is longer than margins have room for."""
        return way_times.beyond_short_ms(self.way_ms(now_ms))

    def note_run(self, taken_ms: float, events: int) -> None:
        """Takes the time from a stream's first event to its end."""
        self.run_ms += TIME_SMOOTHING * (taken_ms - self.run_ms)
        if events > 1:
            event_ms = taken_ms / (events - 1)
            self.event_ms += TIME_SMOOTHING * (event_ms - self.event_ms)

    def closes_in_ms(self, now_ms: clock.Millis) -> float:
        """Returns the time until it closes for new weights, if it will."""
        report = self.report
        if report is None or report.closes_in_ms is None:
            return float("inf")
        return report.closes_in_ms - (now_ms - self.reported_ms)

    def bias_of(
        self, place: queue_place.QueuePlace, now_ms: clock.Millis
    ) -> float:
        """Returns by what a predicted time to a first event is multiplied."""
        shared = self.shared_bias_of(place, now_ms)
        if place is queue_place.QueuePlace.BEHIND:
            return shared
        return self.bias * shared

    def shared_bias_of(
        self, place: queue_place.QueuePlace, now_ms: clock.Millis
    ) -> float:
        """Returns the part of that factor that all replicas have in common."""
        if place is queue_place.QueuePlace.BEHIND:
            return self.behind_bias.factor(now_ms)
        return max(1.0, self.front_bias.factor(now_ms))

    def note_first(
        self, taken_ms: float, predicted_ms: float, now_ms: clock.Millis
    ) -> None:
        """Takes the time to a first event and what was predicted.

        Args:
          taken_ms: the time that it took.
          predicted_ms: prediction without any bias.
          now_ms: the time.
        """
        shared = max(1.0, self.front_bias.factor(now_ms))
        ratio = taken_ms / max(1.0, predicted_ms * shared)
        ratio = min(BIAS_MAX, max(BIAS_MIN, ratio))
        self.front_bias.note(taken_ms, predicted_ms * self.bias, now_ms)
        self.bias += TIME_SMOOTHING * (ratio - self.bias)

    def failure_share(self, now_ms: clock.Millis) -> float:
        """Returns the smoothed share of recent answers that failed."""
        age_ms = now_ms - self._outcome_ms
        return self._failure_share * math.pow(
            0.5, age_ms / FAILURE_HALF_LIFE_MS
        )

    def note_good(self, now_ms: clock.Millis) -> None:
        """Counts a good answer."""
        self._note_outcome(0.0, now_ms)
        self.breaker.record_success()

    def note_error(self, now_ms: clock.Millis) -> None:
        """Counts an answer that reports a failure."""
        self._note_outcome(1.0, now_ms)

    def note_broken(self, now_ms: clock.Millis) -> None:
        """Counts a request that got no whole answer."""
        self.note_error(now_ms)
        self.breaker.record_failure(now_ms)

    def note_unreachable(self, now_ms: clock.Millis) -> None:
        """Counts a connection that could not be opened.

        The replica is down, cut off or has no room: another try by each of
        several requests would cost each of them one of its few attempts.
        """
        self.note_error(now_ms)
        self.breaker.trip(now_ms)

    def _note_outcome(self, failed: float, now_ms: clock.Millis) -> None:
        share = self.failure_share(now_ms)
        self._failure_share = share + FAILURE_SMOOTHING * (failed - share)
        self._outcome_ms = now_ms
