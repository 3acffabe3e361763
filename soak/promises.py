"""The promises that a run checks, from what callers and replicas saw."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import enum

import msgspec

from standins import direct_documents

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run and never will."""

_SUCCESS = 200
_SECOND_MS = 1_000.0
_UNAUTHORIZED = 401
_NOT_FOUND = 404


class CallKind(enum.Enum):
    """Routes that the callers use."""

    STREAM = "chat"
    ORDER = "order"
    STOCK = "stock"


class Call(msgspec.Struct, kw_only=True):
    """What one caller saw of one request.

    Attributes:
      request_id: its id.
      kind: its route.
      key: the key that it was sent with.
      entry: the entry that took it.
      lifetime: start of that entry's process, counted from 0.
      sent_ms: when it was sent.
      ended_ms: when its answer ended, or its caller gave up.
      status: status of the answer, 0 if no head arrived.
      whole: whether the answer was complete as HTTP.
      foreign: whether bytes in it belong to another request.
      events: numbers of its events, in order.
      body: its body, for plain requests.
    """

    request_id: str
    kind: CallKind
    key: str
    entry: str
    lifetime: int
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    whole: bool = False
    foreign: bool = False
    events: list[int] = []
    body: bytes = b""


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """How a daemon ended after it was asked to.

    Attributes:
      process: its name.
      exit_code: how it ended, None if it had to be killed.
      ran_ms: time from its start to the signal.
      taken_ms: time from the signal to its end.
    """

    process: str
    ran_ms: float
    exit_code: int | None
    taken_ms: float


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """A time for which a data centre was evacuated.

    Attributes:
      data_centre: the data centre.
      from_ms: when the store acknowledged the start.
      until_ms: when the end was written.
    """

    data_centre: str
    from_ms: float
    until_ms: float


class ColdStart(msgspec.Struct, frozen=True, kw_only=True):
    """A start of a replica that is cold.

    Attributes:
      replica_id: the id under which it started.
      from_ms: when it started.
      until_ms: when it is no longer cold.
    """

    replica_id: str
    from_ms: float
    until_ms: float


class NetworkFault(msgspec.Struct, frozen=True, kw_only=True):
    """A time for which a proxy failed.

    Attributes:
      target: the proxy.
      from_ms: when it began to fail.
      until_ms: when it no longer failed.
    """

    target: str
    from_ms: float
    until_ms: float


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request that reached a replica.

    Attributes:
      at_ms: when it arrived.
      request_id: its id.
      replica_id: id of the replica.
      data_centre: data centre of the replica.
      proxy: name of the proxy before the replica.
      misdirected: whether it was answered with 421.
    """

    at_ms: float
    request_id: str
    replica_id: str
    data_centre: str
    proxy: str
    misdirected: bool


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """What a run with placement constraints left.

    Attributes:
      regions: region of each data centre.
      route_regions: allowed regions of routes.
      key_regions: allowed regions of the customer of a key.
      cold_per_s: rate that a cold replica tolerates.
      arrivals: requests that reached replicas.
      evacuations: evacuations that ended.
      cold_starts: cold starts of replicas.
      network_faults: faults of the network.
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
    """All that a run left.

    Attributes:
      calls: what callers saw.
      runs: how often each request ran, over all replicas.
      mixed_loads: loads of weights that were not whole.
      unexpected_exits: daemons that ended by themselves.
      stops: daemons that were asked to end.
      revoked: when each key was revoked, in ms.
      attempts_max: replicas that one request may run on.
      events: events of a whole stream.
      last_calls: calls after the last fault, when all should be well.
      limits_broken: replicas that got more than the limit they named.
      pauses_broken: replicas that got requests in a pause they asked for.
      culprit_runs: runs of a request that crashes replicas, from a while after
        the last fault on.
      placement: what the check of placement constraints needs, None without.
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
    placement: Placement | None = None


class Violation(msgspec.Struct, frozen=True):
    """A promise that was broken.

    Attributes:
      promise: its name.
      detail: what was seen.
    """

    promise: str
    detail: str


GRACE_MS = 8_000.0
"""A daemon that was asked to end is killed after this."""

START_MS = 1_000.0
"""A daemon whose interpreter still starts may end by the signal itself: it has
taken nothing."""

CULPRIT_RUNS_MAX = 3
"""Times that a request that is known to crash replicas may still run."""

EVACUATE_MS = direct_documents.EVACUATE_MS
HEARTBEAT_MS = direct_documents.HEARTBEAT_MS
COLD_OVERSHOOT = direct_documents.COLD_OVERSHOOT
COLD_BURST = direct_documents.COLD_BURST
"""Bounds of docs/design/placement-constraints.md, as the settings name them."""

LAST_SHARE_MIN = 0.95
"""Part of the last calls that must be served."""


def check(seen: Evidence) -> list[Violation]:
    """Returns the promises that were broken."""
    found: list[Violation] = []
    for call in [*seen.calls, *seen.last_calls]:
        found.extend(_check_call(call, seen))
    found.extend(_check_keys(seen))
    found.extend(_check_processes(seen))
    if seen.mixed_loads:
        detail = f"{seen.mixed_loads} loads of incomplete weights"
        found.append(Violation("whole_weights", detail))
    if seen.culprit_runs > CULPRIT_RUNS_MAX:
        detail = f"{seen.culprit_runs} runs of a request that crashes replicas"
        found.append(Violation("crashing_requests", detail))
    for detail in seen.limits_broken:
        found.append(Violation("replica_limits", detail))
    for detail in seen.pauses_broken:
        found.append(Violation("replica_pauses", detail))
    if seen.placement is not None:
        calls = {c.request_id: c for c in [*seen.calls, *seen.last_calls]}
        found.extend(_check_evacuations(seen.placement, calls))
        found.extend(_check_regions(seen.placement, calls))
        found.extend(_check_cold(seen.placement, calls))
    allowed = [call for call in seen.last_calls if call.key not in seen.revoked]
    served = sum(_is_served(call) for call in allowed)
    if served < LAST_SHARE_MIN * len(allowed):
        detail = f"{served} of {len(allowed)} last calls served"
        found.append(Violation("recovery", detail))
    return found


def _is_served(call: Call) -> bool:
    return call.status == _SUCCESS and call.whole


def _check_call(call: Call, seen: Evidence) -> Iterable[Violation]:
    runs = seen.runs.get(call.request_id, 0)
    name = f"{call.kind.value} {call.request_id} at {call.entry}"
    if call.foreign:
        yield Violation("own_answer", f"{name}: bytes of another request")
    if call.kind is CallKind.ORDER and runs > 1:
        yield Violation("at_most_once", f"{name}: ran {runs} times")
    if runs > seen.attempts_max:
        yield Violation("attempts", f"{name}: ran {runs} times")
    promised = call.status in NOT_RUN_STATUSES and call.whole
    if promised and runs and call.kind is CallKind.ORDER:
        yield Violation("not_run", f"{name}: {call.status}, but it ran")
    if call.status == _NOT_FOUND:
        yield Violation("denied", f"{name}: its route was always there")
    if _is_served(call):
        yield from _check_answer(call, name, seen.events)


def _check_answer(call: Call, name: str, events: int) -> Iterable[Violation]:
    if call.kind is CallKind.STREAM:
        if call.events != list(range(1, events + 1)):
            yield Violation("order", f"{name}: events {call.events}")
    elif call.body != call.request_id.encode():
        yield Violation("own_answer", f"{name}: body {call.body!r}")


def _check_keys(seen: Evidence) -> Iterable[Violation]:
    """Within one process a revoked key stays revoked, others stay valid."""
    refused_ms: dict[tuple[str, int, str], float] = {}
    for call in sorted(seen.calls, key=lambda c: c.sent_ms):
        place = (call.entry, call.lifetime, call.key)
        name = f"{call.request_id} at {call.entry}"
        if call.status == _UNAUTHORIZED:
            if call.key not in seen.revoked:
                yield Violation("denied", f"{name}: its key is valid")
            refused_ms.setdefault(place, call.ended_ms)
        elif call.status == _SUCCESS and call.sent_ms > refused_ms.get(
            place, float("inf")
        ):
            yield Violation("forward_only", f"{name}: key valid again")
    for call in seen.last_calls:
        if call.key in seen.revoked and call.status == _SUCCESS:
            detail = f"{call.request_id}: a revoked key is still valid"
            yield Violation("config_applies", detail)


def _check_evacuations(
    seen: Placement, calls: Mapping[str, Call]
) -> Iterable[Violation]:
    """Nothing reaches a data centre once its evacuation is in force."""
    for evacuation in seen.evacuations:
        start_ms = evacuation.from_ms + EVACUATE_MS
        for arrival in seen.arrivals:
            if (
                arrival.data_centre == evacuation.data_centre
                and start_ms < arrival.at_ms < evacuation.until_ms
                and not arrival.misdirected
                and not _was_held_back(arrival, seen, calls)
            ):
                late_ms = arrival.at_ms - evacuation.from_ms
                yield Violation(
                    "evacuations",
                    f"{arrival.request_id} reached {arrival.replica_id}"
                    f" {late_ms:.0f} ms after the evacuation of"
                    f" {arrival.data_centre}",
                )


def _check_regions(
    seen: Placement, calls: Mapping[str, Call]
) -> Iterable[Violation]:
    """A request reaches only replicas in its regions, run or not."""
    everywhere = frozenset(seen.regions.values())
    for arrival in seen.arrivals:
        call = calls.get(arrival.request_id)
        if call is None:
            continue
        allowed = seen.route_regions.get(
            call.kind, everywhere
        ) & seen.key_regions.get(call.key, everywhere)
        region = seen.regions[arrival.data_centre]
        if region not in allowed:
            yield Violation(
                "regions",
                f"{call.kind.value} {call.request_id} reached"
                f" {arrival.replica_id} in {region},"
                f" allowed {sorted(allowed)}",
            )


def _check_cold(
    seen: Placement, calls: Mapping[str, Call]
) -> Iterable[Violation]:
    """A cold replica gets fewer requests than allowed in any second."""
    limit = seen.cold_per_s * COLD_OVERSHOOT + COLD_BURST
    arrivals = [
        arrival
        for arrival in seen.arrivals
        if not arrival.misdirected and not _was_held_back(arrival, seen, calls)
    ]
    for cold in _cold_periods(seen):
        times_ms = sorted(
            arrival.at_ms
            for arrival in arrivals
            if arrival.replica_id == cold.replica_id
            and cold.from_ms <= arrival.at_ms < cold.until_ms
        )
        most = max(
            (
                sum(start <= at < start + _SECOND_MS for at in times_ms)
                for start in times_ms
            ),
            default=0,
        )
        if most >= limit:
            yield Violation(
                "cold_replicas",
                f"{cold.replica_id}, cold from {cold.from_ms:.0f} ms: {most}"
                f" requests in a second, fewer than {limit:g} allowed",
            )


def _cold_periods(seen: Placement) -> Iterable[ColdStart]:
    """Returns when replicas must count as cold.

    After an evacuation that was in force everywhere, all replicas of the data
    centre count as cold at least until a record that is a heartbeat younger.
    """
    yield from seen.cold_starts
    for evacuation in seen.evacuations:
        if evacuation.until_ms - evacuation.from_ms < EVACUATE_MS:
            continue
        for replica_id in {
            arrival.replica_id
            for arrival in seen.arrivals
            if arrival.data_centre == evacuation.data_centre
        }:
            yield ColdStart(
                replica_id=replica_id,
                from_ms=evacuation.until_ms,
                until_ms=evacuation.until_ms + HEARTBEAT_MS,
            )


def _was_held_back(
    arrival: Arrival, seen: Placement, calls: Mapping[str, Call]
) -> bool:
    """Returns whether the network may have delayed a request to a replica.

    The time of such a request's arrival tells nothing about when it was sent.
    """
    call = calls.get(arrival.request_id)
    if call is None:
        return False
    return any(
        fault.target == arrival.proxy
        and call.sent_ms <= fault.until_ms
        and fault.from_ms <= arrival.at_ms
        for fault in seen.network_faults
    )


def _check_processes(seen: Evidence) -> Iterable[Violation]:
    for name in seen.unexpected_exits:
        yield Violation("stays_up", name)
    for stop in seen.stops:
        if stop.exit_code is None or stop.taken_ms > GRACE_MS:
            detail = f"{stop.process} took {stop.taken_ms:.0f} ms"
            yield Violation("stops_in_grace", detail)
        elif stop.exit_code != 0 and stop.ran_ms > START_MS:
            detail = f"{stop.process} ended with {stop.exit_code}"
            yield Violation("stops_in_grace", detail)
