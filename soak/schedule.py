"""Generates the faults of a run from its seed."""

from __future__ import annotations

import enum
import random

import msgspec

from standins import fault_proxy


class FaultKind(enum.Enum):
    """Kind of a fault injected from outside the system."""

    PROXY = "proxy"
    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"
    RELOAD = "reload"
    KILL_ALL = "kill_all"
    ENGINE_RESTART = "engine_restart"
    ENGINE_DRAIN = "engine_drain"
    ROT = "rot"
    STORE_DOWN = "store_down"
    CONFIG = "config"
    REVOKE = "revoke"
    WEIGHTS = "weights"
    EVACUATE = "evacuate"
    EVACUATE_AGAIN = "evacuate_again"
    SILENT = "silent"
    ENDLESS = "endless"
    SPOIL = "spoil"
    LATE_ORDER = "late_order"


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A scheduled fault.

    Attributes:
      at_ms: start time, relative to the start of the calls.
      for_ms: duration, 0 for an instantaneous fault.
      kind: kind of the fault.
      target: affected proxy, process, data centre or engine number; for a
        silence and for bytes without end the name of the replica's proxy.
      network: fault of the proxy, for `PROXY`.
    """

    at_ms: float
    for_ms: float
    kind: FaultKind
    target: str = ""
    network: fault_proxy.Fault = fault_proxy.Fault.NONE


class Plan(msgspec.Struct, frozen=True):
    """The faults of a run, ordered by start time.

    Attributes:
      seed: seed that they were generated from.
      faults: the faults.
      calm_ms: time at which the last fault ends.
    """

    seed: int
    faults: list[Fault]
    calm_ms: float


class Size(msgspec.Struct, frozen=True):
    """Size of the fleet and duration of the faults.

    Attributes:
      entries: number of entries.
      engines: number of model engines, each with an agent.
      desks: number of replicas of the plain service.
      trouble_ms: period in which faults start.
      faults_mean: mean number of faults.
    """

    entries: int = 3
    engines: int = 4
    desks: int = 3
    trouble_ms: float = 8_000.0
    faults_mean: float = 9.0


FAILING_SIZE = Size(entries=6)
"""Size of runs with failing replicas: with few entries, the budget of retries
is not exceeded by a few restarts."""

REGIONS = {"dc-1": "north", "dc-2": "south", "dc-3": "west"}
"""Region by data centre in runs with placement constraints."""

EVACUATION_MS = (6_500.0, 9_000.0)
"""Range of most evacuations' durations.

All exceed the time within which an evacuation must be in force.
"""

SHORT_EVACUATION_MS = (50.0, 2_000.0)
SHORT_EVACUATION_SHARE = 0.3

FAULT_MS = (300.0, 3_500.0)
"""Range of a fault's duration."""

_WEIGHTS: dict[FaultKind, float] = {
    FaultKind.PROXY: 6.0,
    FaultKind.STOP: 2.0,
    FaultKind.KILL: 2.0,
    FaultKind.PAUSE: 2.0,
    FaultKind.RELOAD: 1.0,
    FaultKind.KILL_ALL: 0.3,
    FaultKind.ENGINE_RESTART: 1.0,
    FaultKind.ENGINE_DRAIN: 0.7,
    FaultKind.ROT: 1.0,
    FaultKind.STORE_DOWN: 1.0,
    FaultKind.CONFIG: 1.0,
    FaultKind.REVOKE: 0.7,
    FaultKind.WEIGHTS: 1.5,
}
"""Relative frequencies: network faults are the most common, and a kill of all
processes is rare."""

_ON_PROCESS = frozenset(
    {FaultKind.STOP, FaultKind.KILL, FaultKind.PAUSE, FaultKind.RELOAD}
)
_ON_ENGINE = frozenset(
    {FaultKind.ENGINE_RESTART, FaultKind.ENGINE_DRAIN, FaultKind.ROT}
)
_AT_ONCE = frozenset(
    {
        FaultKind.RELOAD,
        FaultKind.ROT,
        FaultKind.CONFIG,
        FaultKind.REVOKE,
        FaultKind.WEIGHTS,
    }
)


PLACEMENT_KINDS = frozenset({FaultKind.EVACUATE, FaultKind.EVACUATE_AGAIN})
"""Kinds that occur only in runs with placement constraints."""

ADDED_KINDS = PLACEMENT_KINDS | {
    FaultKind.SILENT,
    FaultKind.ENDLESS,
    FaultKind.SPOIL,
    FaultKind.LATE_ORDER,
}
"""Kinds that occur only in runs that ask for them."""

KILLS_PAUSE_MS = (700.0, 2_500.0)
"""Range of the time between two kills of a series."""

KILLED_DOWN_MS = (100.0, 400.0)
"""Range of the time until an entry of a series starts again."""

SILENCE_MS = (800.0, 1_500.0)
"""Range of the silences of sound replicas."""

SPOILT_MS = (3_200.0, 5_000.0)
"""Range of the suspension of an agent whose staged pieces turn corrupt, longer
than a corruption is excused."""

LATE_ORDER_MS = (1_200.0, 9_000.0)
"""Range of the time for which an engine holds a load order back, longer than
its agent waits for the answer."""

VERSION_PAUSE_MS = (1_500.0, 4_000.0)
"""Range of the time between two versions in runs with corrupt pieces."""

LOAD_AFTER_MS = (0.0, 2_500.0)
"""Range of the time from a version until pieces turn corrupt or orders are held
back."""

SILENCE_PAUSE_MS = (100.0, 1_000.0)
"""Range of the time between two silences of a series."""


def draw(
    seed: int,
    size: Size,
    *,
    placement: bool = False,
    silent: bool = False,
    endless: bool = False,
    failing: bool = False,
    spoilt: bool = False,
) -> Plan:
    """Returns the faults of a seed, which determines them completely.

    Args:
      seed: the seed.
      size: size of the run.
      placement: whether to add evacuations and restarts of engines; the seed's
        other faults stay the same.
      silent: whether to add silences of replicas, likewise.
      endless: whether to add replicas that send bytes without end, likewise.
      failing: whether to add kills of entries in quick succession, likewise.
      spoilt: whether to add versions whose staged pieces turn corrupt and whose
        load orders are held back, likewise.
    """
    rng = random.Random(seed)
    count = max(1, round(rng.expovariate(1.0 / size.faults_mean)))
    faults = [_draw_one(rng, size) for _ in range(min(count, 30))]
    if placement:
        faults += _draw_placement(random.Random(f"{seed}:placement"), size)
    if silent:
        faults += _draw_silences(random.Random(f"{seed}:silent"), size)
    if endless:
        faults += _draw_endless(random.Random(f"{seed}:endless"), size)
    if failing:
        faults += _draw_kills(random.Random(f"{seed}:failing"), size)
    if spoilt:
        faults += _draw_spoilt(random.Random(f"{seed}:spoilt"), size)
    faults.sort(key=lambda fault: fault.at_ms)
    calm_ms = max(fault.at_ms + fault.for_ms for fault in faults)
    return Plan(seed, faults, calm_ms)


def _draw_one(rng: random.Random, size: Size) -> Fault:
    kinds = list(_WEIGHTS)
    kind = rng.choices(kinds, [_WEIGHTS[k] for k in kinds])[0]
    target = ""
    network = fault_proxy.Fault.NONE
    if kind in _ON_PROCESS:
        target = rng.choice(process_names(size))
    elif kind in _ON_ENGINE:
        target = str(rng.randrange(size.engines))
    elif kind is FaultKind.PROXY:
        target = rng.choice(proxy_names(size))
        network = rng.choice(
            [f for f in fault_proxy.Fault if f is not fault_proxy.Fault.NONE]
        )
    return Fault(
        at_ms=rng.uniform(0.0, size.trouble_ms),
        for_ms=0.0 if kind in _AT_ONCE else rng.uniform(*FAULT_MS),
        kind=kind,
        target=target,
        network=network,
    )


def _draw_placement(rng: random.Random, size: Size) -> list[Fault]:
    """Returns evacuations of one or more data centres, and cold restarts."""
    faults: list[Fault] = []
    for _ in range(rng.randint(1, 3)):
        at_ms = rng.uniform(0.0, size.trouble_ms)
        kind = rng.choice(sorted(PLACEMENT_KINDS, key=lambda k: k.value))
        count = rng.choice([1, 1, 2, len(REGIONS)])
        for data_centre in rng.sample(sorted(REGIONS), count):
            # Every run has at least one evacuation that outlasts the bound.
            short = bool(faults) and rng.random() < SHORT_EVACUATION_SHARE
            duration_ms = SHORT_EVACUATION_MS if short else EVACUATION_MS
            faults.append(
                Fault(
                    at_ms=at_ms,
                    for_ms=rng.uniform(*duration_ms),
                    kind=kind,
                    target=data_centre,
                )
            )
    faults += [
        Fault(
            at_ms=rng.uniform(0.0, size.trouble_ms),
            for_ms=rng.uniform(*FAULT_MS),
            kind=FaultKind.ENGINE_RESTART,
            target=str(rng.randrange(size.engines)),
        )
        for _ in range(rng.randint(1, 2))
    ]
    return faults


def _draw_silences(rng: random.Random, size: Size) -> list[Fault]:
    """Returns silences of one or more replicas, single ones and series."""
    faults: list[Fault] = []
    names = replica_names(size)
    for _ in range(rng.randint(3, 5)):
        at_ms = rng.uniform(0.0, size.trouble_ms)
        silent = rng.sample(names, rng.choice([1, 1, 2, 4, len(names)]))
        for _ in range(rng.choice([1, 1, 3])):
            for name in silent:
                faults.append(
                    Fault(
                        at_ms=at_ms,
                        for_ms=rng.uniform(*SILENCE_MS),
                        kind=FaultKind.SILENT,
                        target=name,
                    )
                )
            at_ms += SILENCE_MS[1] + rng.uniform(*SILENCE_PAUSE_MS)
    return faults


def _draw_kills(rng: random.Random, size: Size) -> list[Fault]:
    """Returns a series of kills, each of one or more entries."""
    faults: list[Fault] = []
    entries = [f"entry-{number}" for number in range(size.entries)]
    at_ms = rng.uniform(*KILLS_PAUSE_MS)
    while at_ms < size.trouble_ms:
        count = rng.choice([1, size.entries, size.entries])
        faults += [
            Fault(
                at_ms=at_ms,
                for_ms=rng.uniform(*KILLED_DOWN_MS),
                kind=FaultKind.KILL,
                target=name,
            )
            for name in rng.sample(entries, count)
        ]
        at_ms += rng.uniform(*KILLS_PAUSE_MS)
    return faults


def _draw_spoilt(rng: random.Random, size: Size) -> list[Fault]:
    """Returns versions with corrupt pieces and late orders beside them."""
    faults: list[Fault] = []
    at_ms = 0.0
    while at_ms < size.trouble_ms:
        faults.append(Fault(at_ms=at_ms, for_ms=0.0, kind=FaultKind.WEIGHTS))
        for kind, duration_ms in (
            (FaultKind.SPOIL, SPOILT_MS),
            (FaultKind.LATE_ORDER, LATE_ORDER_MS),
        ):
            for number in rng.sample(range(size.engines), size.engines // 2):
                faults.append(
                    Fault(
                        at_ms=at_ms + rng.uniform(*LOAD_AFTER_MS),
                        for_ms=rng.uniform(*duration_ms),
                        kind=kind,
                        target=str(number),
                    )
                )
        at_ms += rng.uniform(*VERSION_PAUSE_MS)
    return faults


def _draw_endless(rng: random.Random, size: Size) -> list[Fault]:
    """Returns periods in which replicas send bytes without end."""
    return [
        Fault(
            at_ms=rng.uniform(0.0, size.trouble_ms),
            for_ms=rng.uniform(*FAULT_MS),
            kind=FaultKind.ENDLESS,
            target=rng.choice(replica_names(size)),
        )
        for _ in range(rng.randint(2, 5))
    ]


def process_names(size: Size) -> list[str]:
    """Returns the names of all daemons."""
    entries = [f"entry-{n}" for n in range(size.entries)]
    return entries + [f"agent-{n}" for n in range(size.engines)]


def proxy_names(size: Size) -> list[str]:
    """Returns the names of all proxies."""
    names = [f"store:{name}" for name in process_names(size)]
    names += [f"callers:entry-{n}" for n in range(size.entries)]
    return names + replica_names(size)


def replica_names(size: Size) -> list[str]:
    """Returns the names of the proxies of all replicas, engines first."""
    engines = [f"engine-{n}" for n in range(size.engines)]
    return engines + [f"desk-{n}" for n in range(size.desks)]
