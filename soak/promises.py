"""The promises that a run checks, from what callers and replicas saw."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import enum

import msgspec

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run and never will."""

_SUCCESS = 200
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
