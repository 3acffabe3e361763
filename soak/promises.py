"""Checks the system's guarantees against observations of a run."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import enum

import msgspec

from standins import direct_documents

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request was not and will not be executed."""

_SUCCESS = 200
_SECOND_MS = 1_000.0
_UNAUTHORIZED = 401
_NOT_FOUND = 404


class CallKind(enum.Enum):
    """Route of a call."""

    STREAM = "chat"
    ORDER = "order"
    STOCK = "stock"


class CallEnding(enum.Enum):
    """How a call ended for its caller."""

    UNENDED = "unended"
    """The run ended first."""

    ANSWERED = "answered"
    """A complete response arrived, by a replica or by the entry."""

    TIMED_OUT = "timed_out"
    """The caller's own timeout expired."""

    CUT = "cut"
    """The connection ended before the complete response."""


class Call(msgspec.Struct, kw_only=True):
    """A request and its response as observed by the caller.

    Attributes:
      request_id: id of the request.
      kind: route of the request.
      key: API key of the request.
      entry: entry that accepted it.
      lifetime: number of restarts of that entry's process.
      port: the caller's port, 0 if it is not known.
      wait_ms: how long the caller waits, as it tells the entry.
      sent_ms: time at which it was sent.
      ended_ms: time at which the response ended or the caller gave up.
      ending: how it ended.
      status: status code of the response, 0 if no head arrived.
      retry_after: whether the response names a time for a retry.
      whole: whether the HTTP response was complete.
      foreign: whether it contains bytes of another response.
      events: numbers of the received events, in order.
      body: body of the response.
    """

    request_id: str
    kind: CallKind
    key: str
    entry: str
    lifetime: int
    sent_ms: float
    port: int = 0
    wait_ms: float = float("inf")
    ended_ms: float = 0.0
    ending: CallEnding = CallEnding.UNENDED
    status: int = 0
    retry_after: bool = False
    whole: bool = False
    foreign: bool = False
    events: list[int] = []
    body: bytes = b""


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """Shutdown of a daemon after SIGTERM.

    Attributes:
      process: name of the daemon.
      lifetime: number of its restarts before.
      asked_ms: time of the signal.
      exit_code: exit code, None if it had to be killed.
      ran_ms: time from its start to the signal.
      taken_ms: time from the signal to its exit.
    """

    process: str
    ran_ms: float
    exit_code: int | None
    taken_ms: float
    lifetime: int = 0
    asked_ms: float = 0.0


class Kill(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon that was killed.

    Attributes:
      process: name of the daemon.
      lifetime: number of its restarts before.
      at_ms: time at which it was killed.
    """

    process: str
    lifetime: int
    at_ms: float


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which a data centre was evacuated.

    Attributes:
      data_centre: id of the data centre.
      from_ms: time at which the store acknowledged the start.
      until_ms: time at which the end was written.
    """

    data_centre: str
    from_ms: float
    until_ms: float


class ColdStart(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which a replica was cold after a start.

    Attributes:
      replica_id: id that it started under.
      from_ms: time of the start.
      until_ms: end of the cold period.
    """

    replica_id: str
    from_ms: float
    until_ms: float


class NetworkFault(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which a proxy injected a fault.

    Attributes:
      target: name of the proxy.
      from_ms: start of the fault.
      until_ms: end of the fault.
    """

    target: str
    from_ms: float
    until_ms: float


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request that reached a replica.

    Attributes:
      at_ms: time of arrival.
      request_id: id of the request.
      replica_id: id of the replica.
      data_centre: data centre of the replica.
      proxy: name of the replica's proxy.
      misdirected: whether the replica responded with 421.
    """

    at_ms: float
    request_id: str
    replica_id: str
    data_centre: str
    proxy: str
    misdirected: bool


class Network(msgspec.Struct, frozen=True, kw_only=True):
    """Observations that explain the end of connections.

    Attributes:
      kills: daemons that were killed.
      outages: faults that ended connections through a proxy, or replicas
        behind it. Silences of sound replicas are not among them.
      refused: callers' ports whose connections no entry accepted, by proxy.
      read: ids of requests that an entry read, of those that were cut.
      attempts: proxies of the replicas at which attempts failed according to
        the entry, in order, by request id, of those that were cut.
      attempts_max: failed attempts after which a stream may end. It is 1 if
        streams share a prompt part with requests that crash engines, since
        they may then be suspected and run once.
      budget_spent: ids of the streams that an entry broke off since no retry
        was left, in runs whose budget is smaller than they need.
      arrivals: requests that reached replicas.
      engines: names of the engines' proxies.
    """

    kills: list[Kill]
    outages: list[NetworkFault]
    refused: Mapping[str, set[int]]
    read: frozenset[str]
    attempts: Mapping[str, list[str]]
    attempts_max: int
    budget_spent: frozenset[str] = frozenset()
    arrivals: list[Arrival]
    engines: list[str]


NO_FAULTS = Network(
    kills=[],
    outages=[],
    refused={},
    read=frozenset(),
    attempts={},
    attempts_max=2,
    arrivals=[],
    engines=[],
)


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Observations of a run with placement constraints.

    Attributes:
      regions: region by data centre.
      route_regions: allowed regions by route.
      key_regions: allowed regions by API key of the customer.
      cold_per_s: requests per second that a cold replica can handle.
      arrivals: requests that reached replicas.
      evacuations: completed evacuations.
      cold_starts: cold starts of replicas.
      network_faults: injected network faults.
    """

    regions: Mapping[str, str]
    route_regions: Mapping[CallKind, frozenset[str]]
    key_regions: Mapping[str, frozenset[str]]
    cold_per_s: float
    arrivals: list[Arrival]
    evacuations: list[Evacuation]
    cold_starts: list[ColdStart]
    network_faults: list[NetworkFault]


class Evidence(msgspec.Struct, kw_only=True):
    """All observations of a run.

    Attributes:
      calls: calls made during the faults.
      runs: number of executions by request id, over all replicas.
      mixed_loads: number of loads of incomplete weights.
      spoilt_runs: number of requests that ran on incomplete weights.
      unexpected_exits: daemons that exited by themselves.
      stops: shutdowns of daemons.
      revoked: time of revocation by API key, in ms.
      attempts_max: maximum number of replicas that may execute a request.
      events: number of events of a complete stream.
      last_calls: calls after recovery from the last fault.
      limits_broken: replicas that received more than their announced limit.
      pauses_broken: replicas that received too many requests in a pause.
      culprit_runs: executions of requests that crash replicas, from some time
        after the last fault.
      memory_bytes: peak of the resident memory by daemon.
      retry_budget: the retries that each service allows, None if they are not
        counted.
      network: observations that explain why calls were cut.
      placement: observations for the check of placement constraints, None if
        there are none.
    """

    calls: list[Call]
    runs: Mapping[str, int]
    mixed_loads: int
    unexpected_exits: list[str]
    stops: list[Stop]
    revoked: Mapping[str, float]
    attempts_max: int
    events: int
    last_calls: list[Call]
    culprit_runs: int = 0
    limits_broken: list[str] = []
    pauses_broken: list[str] = []
    memory_bytes: Mapping[str, int] = {}
    retry_budget: direct_documents.RetryBudget | None = None
    network: Network = NO_FAULTS
    placement: Placement | None = None
    spoilt_runs: int = 0


class Violation(msgspec.Struct, frozen=True):
    """A violation of a guarantee.

    Attributes:
      promise: name of the guarantee.
      detail: what was observed.
    """

    promise: str
    detail: str


GRACE_MS = 8_000.0
"""Time after SIGTERM at which a daemon is killed."""

START_MS = 1_000.0
"""Startup time of the interpreter.

Until then SIGTERM may terminate a daemon directly: it has accepted no work yet.
"""

MEMORY_MAX_BYTES = {"entry": 300_000_000, "agent": 168_000_000}
"""Limit of the resident memory by role of a daemon."""

GRACE_MARGIN_MS = 1_000.0
"""Time before the end of the grace period from which an entry that still has
requests ends them."""

RACE_MS = 100.0
"""Time by which a call and a fault that cut it may differ in the records."""

DEADLINE_MARGIN_MS = 100.0
"""Time before the end of a caller's wait from which the entry may cut it."""

OUTAGE_KNOWN_MS = 1_750.0
"""Time after which an entry can know of an outage: the age up to which it
relies on a load report, and the time between two of them."""

CULPRIT_RUNS_MAX = 3
"""Maximum executions of a request that is known to crash replicas."""

EVACUATE_MS = direct_documents.EVACUATE_MS
HEARTBEAT_MS = direct_documents.HEARTBEAT_MS
COLD_OVERSHOOT = direct_documents.COLD_OVERSHOOT
COLD_BURST = direct_documents.COLD_BURST
"""Bounds of docs/design/placement-constraints.md, named as in the settings."""

LAST_SHARE_MIN = 0.95
"""Minimum fraction of the last calls that must be served."""


def check(evidence: Evidence) -> list[Violation]:
    """Returns the violated guarantees."""
    violations: list[Violation] = []
    for call in [*evidence.calls, *evidence.last_calls]:
        violations.extend(_check_call(call, evidence))
        violations.extend(_check_ending(call, evidence))
    violations.extend(_check_keys(evidence))
    violations.extend(_check_memory(evidence))
    violations.extend(_check_processes(evidence))
    violations.extend(_check_retries(evidence))
    if evidence.mixed_loads:
        detail = f"{evidence.mixed_loads} loads of incomplete weights"
        violations.append(Violation("whole_weights", detail))
    if evidence.spoilt_runs:
        detail = f"{evidence.spoilt_runs} requests ran on incomplete weights"
        violations.append(Violation("whole_weights", detail))
    if evidence.culprit_runs > CULPRIT_RUNS_MAX:
        detail = (
            f"{evidence.culprit_runs} runs of a request that crashes replicas"
        )
        violations.append(Violation("crashing_requests", detail))
    for detail in evidence.limits_broken:
        violations.append(Violation("replica_limits", detail))
    for detail in evidence.pauses_broken:
        violations.append(Violation("replica_pauses", detail))
    if evidence.placement is not None:
        calls = {
            c.request_id: c for c in [*evidence.calls, *evidence.last_calls]
        }
        violations.extend(_check_evacuations(evidence.placement, calls))
        violations.extend(_check_regions(evidence.placement, calls))
        violations.extend(_check_cold(evidence.placement, calls))
    allowed = [
        call for call in evidence.last_calls if call.key not in evidence.revoked
    ]
    served = sum(_is_served(call) for call in allowed)
    if served < LAST_SHARE_MIN * len(allowed):
        detail = f"{served} of {len(allowed)} last calls served"
        violations.append(Violation("recovery", detail))
    return violations


def _check_retries(evidence: Evidence) -> Iterable[Violation]:
    """Checks the arrivals beyond the first of each request, by service.

    The requests of a window are those of the window itself, the one before it
    or the one half a window before it, whichever has most.
    """
    budget = evidence.retry_budget
    if budget is None:
        return
    window_ms = budget.window_s * _SECOND_MS
    calls = [*evidence.calls, *evidence.last_calls]
    for is_engine in (True, False):
        sent_ms = [
            call.sent_ms
            for call in calls
            if (call.kind is CallKind.STREAM) is is_engine
        ]
        arrivals = sorted(
            (arrival.at_ms, arrival.request_id)
            for arrival in evidence.network.arrivals
            if arrival.proxy.startswith("engine") is is_engine
        )
        repeated_ms = _repeated_ms(arrivals)
        for from_ms in repeated_ms:
            repeats = _within(repeated_ms, from_ms, window_ms)
            requests = max(
                _within(sent_ms, from_ms - before_ms, window_ms)
                for before_ms in (0.0, window_ms / 2, window_ms)
            )
            allowed = budget.ratio * requests + budget.slack
            if repeats > allowed:
                detail = (
                    f"{repeats} repeats of {requests} requests from"
                    f" {from_ms:.0f} ms, allowed {allowed:.0f}"
                )
                yield Violation("retry_budget", detail)
                break


def _repeated_ms(arrivals: list[tuple[float, str]]) -> list[float]:
    """Returns the times of all arrivals but the first of each request."""
    seen: set[str] = set()
    repeated_ms = []
    for at_ms, request_id in arrivals:
        if request_id in seen:
            repeated_ms.append(at_ms)
        seen.add(request_id)
    return repeated_ms


def _within(times_ms: list[float], from_ms: float, window_ms: float) -> int:
    return sum(from_ms <= at_ms < from_ms + window_ms for at_ms in times_ms)


def _is_served(call: Call) -> bool:
    return call.status == _SUCCESS and call.whole


def _check_call(call: Call, evidence: Evidence) -> Iterable[Violation]:
    runs = evidence.runs.get(call.request_id, 0)
    name = f"{call.kind.value} {call.request_id} at {call.entry}"
    if call.foreign:
        yield Violation("own_answer", f"{name}: bytes of another request")
    if call.kind is CallKind.ORDER and runs > 1:
        yield Violation("at_most_once", f"{name}: executed {runs} times")
    if runs > evidence.attempts_max:
        yield Violation("attempts", f"{name}: executed {runs} times")
    claims_not_run = call.status in NOT_RUN_STATUSES and call.whole
    if claims_not_run and runs and call.kind is CallKind.ORDER:
        yield Violation(
            "not_run", f"{name}: {call.status}, but it was executed"
        )
    if call.status == _NOT_FOUND:
        yield Violation(
            "denied", f"{name}: 404 for a route that always existed"
        )
    if _is_served(call):
        yield from _check_answer(call, name, evidence.events)


def _check_ending(call: Call, evidence: Evidence) -> Iterable[Violation]:
    """Checks that a call is cut only by a recorded fault.

    A caller's timeout and the end of the run leave nothing to check.
    """
    if call.ending is CallEnding.CUT and not (
        _entry_has_ended(call, evidence)
        or _is_over(call, evidence, f"callers:{call.entry}")
        or call.ended_ms - call.sent_ms > call.wait_ms - DEADLINE_MARGIN_MS
        or _replicas_have_failed(call, evidence)
        or _lacked_a_retry(call, evidence)
    ):
        yield Violation(
            "answered",
            f"{call.kind.value} {call.request_id} at {call.entry}"
            f" ({call.lifetime}): cut with status {call.status} after"
            f" {call.ended_ms - call.sent_ms:.0f} ms and events {call.events},"
            f" sent at {call.sent_ms:.0f} ms",
        )


def _lacked_a_retry(call: Call, evidence: Evidence) -> bool:
    """Returns whether a replica broke a call off and no retry was left."""
    network = evidence.network
    return call.request_id in network.budget_spent and any(
        _is_over(call, evidence, proxy)
        for proxy in network.attempts.get(call.request_id, ())
    )


def _entry_has_ended(call: Call, evidence: Evidence) -> bool:
    """Returns whether the entry was killed, ended its grace or never read it.

    An entry that leaves closes its idle connections while requests may be on
    their way. It has read none of these.
    """
    process = (call.entry, call.lifetime)
    network = evidence.network
    if call.port in network.refused.get(f"callers:{call.entry}", ()):
        return True
    if any(
        (kill.process, kill.lifetime) == process
        and kill.at_ms < call.ended_ms + RACE_MS
        for kill in network.kills
    ):
        return True
    return any(
        (stop.process, stop.lifetime) == process
        and (
            call.ended_ms > stop.asked_ms + GRACE_MS - GRACE_MARGIN_MS
            or (
                call.ended_ms > stop.asked_ms
                and not call.status
                and call.request_id not in network.read
            )
        )
        for stop in evidence.stops
    )


def _replicas_have_failed(call: Call, evidence: Evidence) -> bool:
    """Returns whether outages explain that a begun stream ended.

    Either each engine had an outage meanwhile, or as many attempts failed as
    are allowed, each at an engine with an outage that the entry could not know
    before, and the request reached no other engine.
    """
    if call.kind is not CallKind.STREAM or call.status != _SUCCESS:
        return False
    network = evidence.network
    if network.engines and all(
        _is_over(call, evidence, name) for name in network.engines
    ):
        return True
    attempts = network.attempts.get(call.request_id, [])
    reached = {
        arrival.proxy
        for arrival in network.arrivals
        if arrival.request_id == call.request_id and not arrival.misdirected
    }
    return len(attempts) >= network.attempts_max and all(
        _is_over(call, evidence, name, OUTAGE_KNOWN_MS)
        for name in reached.union(attempts)
    )


def _is_over(
    call: Call,
    evidence: Evidence,
    proxy: str,
    known_ms: float = float("inf"),
) -> bool:
    """Returns whether an outage of a proxy overlaps a call.

    Args:
      call: the call.
      evidence: the observations.
      proxy: name of the proxy.
      known_ms: age of an outage, when the call is sent, from which it does not
        count.
    """
    return any(
        outage.target == proxy
        and outage.from_ms < call.ended_ms + RACE_MS
        and call.sent_ms - RACE_MS < outage.until_ms
        and call.sent_ms - outage.from_ms < known_ms
        for outage in evidence.network.outages
    )


def _check_memory(evidence: Evidence) -> Iterable[Violation]:
    for name, peak_bytes in evidence.memory_bytes.items():
        limit_bytes = MEMORY_MAX_BYTES[name.partition("-")[0]]
        if peak_bytes > limit_bytes:
            yield Violation(
                "memory",
                f"{name}: {peak_bytes} bytes, {limit_bytes} allowed",
            )


def _check_answer(call: Call, name: str, events: int) -> Iterable[Violation]:
    if call.kind is CallKind.STREAM:
        if call.events != list(range(1, events + 1)):
            yield Violation("order", f"{name}: events {call.events}")
    elif call.body != call.request_id.encode():
        yield Violation("own_answer", f"{name}: body {call.body!r}")


def _check_keys(evidence: Evidence) -> Iterable[Violation]:
    """Checks that a process rejects only revoked keys, and does so for good."""
    refused_ms: dict[tuple[str, int, str], float] = {}
    for call in sorted(evidence.calls, key=lambda c: c.sent_ms):
        scope = (call.entry, call.lifetime, call.key)
        name = f"{call.request_id} at {call.entry}"
        if call.status == _UNAUTHORIZED:
            if call.key not in evidence.revoked:
                yield Violation("denied", f"{name}: a valid key was rejected")
            refused_ms.setdefault(scope, call.ended_ms)
        elif call.status == _SUCCESS and call.sent_ms > refused_ms.get(
            scope, float("inf")
        ):
            yield Violation(
                "forward_only", f"{name}: a rejected key was accepted later"
            )
    for call in evidence.last_calls:
        if call.key in evidence.revoked and call.status == _SUCCESS:
            detail = f"{call.request_id}: a revoked key is still accepted"
            yield Violation("config_applies", detail)


def _check_evacuations(
    evidence: Placement, calls: Mapping[str, Call]
) -> Iterable[Violation]:
    """Checks that no request reaches a data centre after `EVACUATE_MS`."""
    for evacuation in evidence.evacuations:
        start_ms = evacuation.from_ms + EVACUATE_MS
        for arrival in evidence.arrivals:
            if (
                arrival.data_centre == evacuation.data_centre
                and start_ms < arrival.at_ms < evacuation.until_ms
                and not arrival.misdirected
                and not _was_held_back(arrival, evidence, calls)
            ):
                late_ms = arrival.at_ms - evacuation.from_ms
                yield Violation(
                    "evacuations",
                    f"{arrival.request_id} reached {arrival.replica_id}"
                    f" {late_ms:.0f} ms after the evacuation of"
                    f" {arrival.data_centre}",
                )


def _check_regions(
    evidence: Placement, calls: Mapping[str, Call]
) -> Iterable[Violation]:
    """Checks that requests reach replicas in allowed regions only.

    This includes requests that the replica did not execute.
    """
    everywhere = frozenset(evidence.regions.values())
    for arrival in evidence.arrivals:
        call = calls.get(arrival.request_id)
        if call is None:
            continue
        allowed = evidence.route_regions.get(
            call.kind, everywhere
        ) & evidence.key_regions.get(call.key, everywhere)
        region = evidence.regions[arrival.data_centre]
        if region not in allowed:
            yield Violation(
                "regions",
                f"{call.kind.value} {call.request_id} reached"
                f" {arrival.replica_id} in {region},"
                f" allowed {sorted(allowed)}",
            )


def _check_cold(
    evidence: Placement, calls: Mapping[str, Call]
) -> Iterable[Violation]:
    """Checks that the rate at cold replicas stays below the limit."""
    limit = evidence.cold_per_s * COLD_OVERSHOOT + COLD_BURST
    arrivals = [
        arrival
        for arrival in evidence.arrivals
        if not arrival.misdirected
        and not _was_held_back(arrival, evidence, calls)
    ]
    for cold in _cold_periods(evidence):
        times_ms = sorted(
            arrival.at_ms
            for arrival in arrivals
            if arrival.replica_id == cold.replica_id
            and cold.from_ms <= arrival.at_ms < cold.until_ms
        )
        peak = max(
            (
                sum(start <= at < start + _SECOND_MS for at in times_ms)
                for start in times_ms
            ),
            default=0,
        )
        if peak >= limit:
            yield Violation(
                "cold_replicas",
                f"{cold.replica_id}, cold from {cold.from_ms:.0f} ms: {peak}"
                f" requests in a second, fewer than {limit:g} allowed",
            )


def _cold_periods(evidence: Placement) -> Iterable[ColdStart]:
    """Yields the periods in which replicas are treated as cold.

    After an evacuation that was in force everywhere, all replicas of the data
    centre are treated as cold for at least one heartbeat, until a newer record.
    """
    yield from evidence.cold_starts
    for evacuation in evidence.evacuations:
        if evacuation.until_ms - evacuation.from_ms < EVACUATE_MS:
            continue
        for replica_id in {
            arrival.replica_id
            for arrival in evidence.arrivals
            if arrival.data_centre == evacuation.data_centre
        }:
            yield ColdStart(
                replica_id=replica_id,
                from_ms=evacuation.until_ms,
                until_ms=evacuation.until_ms + HEARTBEAT_MS,
            )


def _was_held_back(
    arrival: Arrival, evidence: Placement, calls: Mapping[str, Call]
) -> bool:
    """Returns whether the network may have delayed a request to a replica.

    The arrival time of such a request does not show when it was sent.
    """
    call = calls.get(arrival.request_id)
    if call is None:
        return False
    return any(
        fault.target == arrival.proxy
        and call.sent_ms <= fault.until_ms
        and fault.from_ms <= arrival.at_ms
        for fault in evidence.network_faults
    )


def _check_processes(evidence: Evidence) -> Iterable[Violation]:
    for name in evidence.unexpected_exits:
        yield Violation("stays_up", name)
    for stop in evidence.stops:
        if stop.exit_code is None or stop.taken_ms > GRACE_MS:
            detail = f"{stop.process} took {stop.taken_ms:.0f} ms"
            yield Violation("stops_in_grace", detail)
        elif stop.exit_code != 0 and stop.ran_ms > START_MS:
            detail = f"{stop.process} exited with {stop.exit_code}"
            yield Violation("stops_in_grace", detail)
