"""Replays load against the shipped admission code in virtual time.

Arrivals, engines and callers are models, and there are no sockets. Admission,
the choice of replicas, the exchange of loads and the observation of answers
are the modules that the daemon uses.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import random

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.membership import cells
from marlramp.core.membership import members
from marlramp.core.replicas import admission
from marlramp.core.replicas import cold_shares
from marlramp.core.replicas import peer_loads
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import upstream_choice
from marlramp.core.requests import caller_wait_estimate
from marlramp.direct.calls import attempts
from marlramp.direct.calls import rate_limits
from marlramp.direct.calls import replica_observer
from marlramp.direct.calls import replica_signals
from marlramp.direct.calls import wire
from marlramp.experiments import overload_engine
from marlramp.experiments import overload_plan

SPEC = fleet.EngineSpec(
    model="m",
    batch=16,
    step_ms=7.4,
    per_request_ms=0.0387,
    per_context_token_ms=0.0000203,
    steps_per_pass=6,
    read_tokens_per_ms=31.9,
    memory_tokens=685_000,
    layers=16,
    load_ms=300.0,
    pieces=64,
    piece_bytes=32_768,
)
"""Engine specification as the users' platform publishes it."""

OBJECTIVE_MS = 400.0
TIMEOUT_MS = 6_000.0
GAP_MAX_MS = 2_400.0
TIMEOUT_MIN_SHARE = 0.85
"""Objective, and how long callers wait in total and for a first event. The
total wait varies between callers by 15%."""

PROMPT_TOKENS = (200, 1_800)
EVENTS = (5, 35)
"""Range of the tokens of a prompt, and of the events of an answer."""

CAPACITY_PER_ENGINE = 10.5
"""Requests per second that one simulated engine serves: it has 16 slots, each
occupied for about 1.5 s."""

NETWORK_DELAY_MS = 2.0
REPORT_NEAR_MS = 200.0
REPORT_FAR_MS = 500.0
REPORT_LAG_MS = 200.0
COLD_MS = 3_000.0
"""Time for which an engine is cold after an evacuation."""

EXCHANGE_MS = 20.0
_MS = clock.MILLIS_PER_SECOND


class _Caller:
    """A caller, its request and its timeout."""

    def __init__(self, now_ms: float, rng: random.Random) -> None:
        self.first_ms = now_ms
        self.timeout_ms = TIMEOUT_MS * rng.uniform(TIMEOUT_MIN_SHARE, 1.0)
        self.prompt_tokens = rng.randint(*PROMPT_TOKENS)
        self.events = rng.randint(*EVENTS)
        self.refusals = 0


class _Entry:
    """An entry and what it knows about the engines."""

    def __init__(
        self,
        name: str,
        region: int,
        known: catalog.Catalog,
        shares: cold_shares.ColdShares | None,
        now_ms: float,
    ) -> None:
        self.name = name
        self.region = region
        self.table = replica_table.ReplicaTable(shares)
        self.table.sync(known, clock.Millis(now_ms))
        self.loads = peer_loads.PeerLoads(self.table)
        self.load_updates = peer_loads.LoadUpdates(self.table)
        self.waits = caller_wait_estimate.CallerWaitEstimate(TIMEOUT_MS)
        self.locations = upstream_choice.PreferredLocations(
            {_data_centre(region)}
        )


def _data_centre(region: int) -> str:
    return f"dc-{region}"


class Replay:
    """One replay of a plan.

    Attributes:
      seconds: outcomes of the callers, by the second of their arrival.
      load_messages: number of load updates that entries sent to their cell.
      cold_arrivals: arrival times of requests at each engine while it was cold.
    """

    def __init__(self, plan: overload_plan.Plan) -> None:
        """Creates the engines and entries of a plan."""
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._time = clock.ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._engines = {
            f"i-{n}": overload_engine.Engine(SPEC) for n in range(plan.engines)
        }
        self._busy_engines: set[str] = set()
        known = self._catalog()
        self._entries = [
            _Entry(
                f"entry-{n}",
                n % plan.regions,
                known,
                self._shares(f"entry-{n}"),
                0.0,
            )
            for n in range(plan.entries)
        ]
        self._placement = replica_filters.ANYWHERE
        self._cold_until_ms = float("-inf")
        self.cold_arrivals: dict[str, list[float]] = {}
        self._cells = cells.Cells(
            [
                members.Member(
                    entry.name,
                    members.MemberKind.ENTRY,
                    _data_centre(entry.region),
                    "127.0.0.1",
                    1,
                )
                for entry in self._entries
            ],
            [],
            {},
        )
        self._signals = replica_signals.ReplicaSignals(
            0.0, counters.Counters(), self._time, random.Random(0)
        )
        self.load_messages = 0
        self.seconds = [
            overload_plan.Second() for _ in range(int(plan.seconds))
        ]

    def run(self) -> list[overload_plan.Second]:
        """Runs the replay; returns the outcomes for each second."""
        rate = self._plan.load * CAPACITY_PER_ENGINE * self._plan.engines
        at_ms = 0.0
        while True:
            at_ms += self._rng.expovariate(rate) * _MS
            if at_ms >= len(self.seconds) * _MS:
                break
            self._schedule_at(at_ms, self._arrive)
        for name in self._engines:
            self._report(name)
        for entry in self._entries:
            self._exchange(entry)
        if self._plan.outage_s:
            start_ms = 0.25 * self._plan.seconds * _MS
            self._schedule_at(start_ms, self._stop_engines)
            self._schedule_at(
                start_ms + self._plan.outage_s * _MS, self._restart_engines
            )
        if self._plan.evacuation_s:
            start_ms = 0.25 * self._plan.seconds * _MS
            end_ms = start_ms + self._plan.evacuation_s * _MS
            self._schedule_at(start_ms, self._start_evacuation)
            self._schedule_at(end_ms, self._end_evacuation)
        end_ms = len(self.seconds) * _MS + TIMEOUT_MS
        while self._events and self._events[0][0] < end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self._time.advance(at_ms - self._time.now_ms())
            action()
        return self.seconds

    def _catalog(self) -> catalog.Catalog:
        known = catalog.Catalog()
        changes: list[catalog.Change] = [
            catalog.ConfigChange(1, _config(self._plan))
        ]
        for number, name in enumerate(self._engines):
            replica = fleet.Replica(
                replica_id=name,
                service_id=ids.ServiceId("s"),
                address=f"127.0.0.1:{number + 1}",
                data_centre=ids.DataCentreId(
                    _data_centre(number % self._plan.regions)
                ),
                slots=SPEC.batch,
                state=fleet.ReplicaState.HEALTHY,
                weights=1,
            )
            changes.append(catalog.ReplicaChange(number + 2, name, replica))
        known.apply(changes, clock.Millis(0.0))
        return known

    def _schedule_at(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def _schedule_in(self, wait_ms: float, action: Callable[[], None]) -> None:
        self._schedule_at(self._time.now_ms() + wait_ms, action)

    # Callers.

    def _arrive(self) -> None:
        caller = _Caller(self._time.now_ms(), self._rng)
        self._second(caller).arrived += 1
        self._attempt(caller)

    def _second(self, caller: _Caller) -> overload_plan.Second:
        return self.seconds[int(caller.first_ms / _MS)]

    def _attempt(self, caller: _Caller) -> None:
        entry = self._rng.choice(self._entries)
        now_ms = self._time.now_ms()
        left_ms = caller.first_ms + caller.timeout_ms - now_ms
        wanted = replica_filters.RequestNeeds(
            engine=SPEC,
            prompt_tokens=caller.prompt_tokens,
            events=float(caller.events),
            oldest_weights=1,
            failed=(),
            placement=self._placement,
        )
        request = admission.Request(
            wanted=wanted,
            elapsed_ms=entry.waits.spent_ms(left_ms),
            wait_max_ms=min(left_ms, GAP_MAX_MS),
            objective_ms=OBJECTIVE_MS,
            begun=self._plan.policy is overload_plan.Policy.SEND_ALL,
        )
        views = entry.table.of(ids.ServiceId("s"))
        decision = admission.decide(
            views, request, entry.locations, now_ms, self._rng
        )
        if isinstance(decision, upstream_choice.Choice):
            self._send(caller, decision, left_ms)
            return
        wait_ms = admission.RETRY_AFTER_MIN_MS
        if decision is not None:
            wait_ms = decision.retry_after_ms
        self._retry_or_give_up(caller, wait_ms)

    def _retry_or_give_up(self, caller: _Caller, wait_ms: float) -> None:
        caller.refusals += 1
        if caller.refusals > 1:
            self._second(caller).refused += 1
        else:
            self._schedule_in(wait_ms, lambda: self._attempt(caller))

    def _send(
        self,
        caller: _Caller,
        choice: upstream_choice.Choice,
        left_ms: float,
    ) -> None:
        name = choice.view.replica.replica_id
        engine = self._engines[name]
        choice.view.record_written(self._time.now_ms())
        observer = replica_observer.ReplicaObserver(
            choice,
            caller.prompt_tokens,
            rate_limits.Unlimited(),
            self._signals,
            self._time,
        )

        def on_first() -> None:
            observer.on_answer(_answer(engine))
            observer.on_first_event()
            took_ms = self._time.now_ms() - caller.first_ms
            if took_ms <= OBJECTIVE_MS:
                self._second(caller).in_time += 1
            else:
                self._second(caller).late += 1

        def on_end() -> None:
            observer.record_end(attempts.Outcome(failure=None), caller.events)

        job = overload_engine.Job(
            place=choice.position,
            sent_ms=self._time.now_ms(),
            unread_tokens=caller.prompt_tokens,
            events_left=caller.events,
            on_first=on_first,
            on_end=on_end,
        )

        def on_wait_end() -> None:
            if not job.begun and not job.left:
                job.left = True
                observer.record_abandoned()
                self._second(caller).left += 1

        self._schedule_in(
            NETWORK_DELAY_MS,
            lambda: self._handle_request(name, job, caller, observer),
        )
        self._schedule_in(min(left_ms, GAP_MAX_MS), on_wait_end)

    def _handle_request(
        self,
        name: str,
        job: overload_engine.Job,
        caller: _Caller,
        observer: replica_observer.ReplicaObserver,
    ) -> None:
        engine = self._engines[name]
        if not engine.open:
            job.left = True
            failure = errors.CallError(
                errors.ErrorKind.UPSTREAM_BUSY, ran=errors.Ran.NO
            )
            observer.record_end(
                attempts.Outcome(failure=failure, answer=_answer(engine)), None
            )
            self._retry_or_give_up(caller, admission.RETRY_AFTER_MIN_MS)
            return
        number = int(name.partition("-")[2])
        is_cold = self._time.now_ms() < self._cold_until_ms
        if is_cold and number % self._plan.regions == 0:
            self.cold_arrivals.setdefault(name, []).append(self._time.now_ms())
        engine.add(job)
        self._start_pass(name)

    # Engines.

    def _start_pass(self, name: str) -> None:
        engine = self._engines[name]
        if name in self._busy_engines or engine.idle:
            return
        self._busy_engines.add(name)
        self._schedule_in(engine.next_pass(), lambda: self._end_pass(name))

    def _end_pass(self, name: str) -> None:
        self._busy_engines.discard(name)
        self._engines[name].end_pass()
        self._start_pass(name)

    def _stop_engines(self) -> None:
        for engine in self._engines.values():
            engine.open = False
            for job in engine.lose_all():
                job.on_end()
                job.left = True

    def _restart_engines(self) -> None:
        for engine in self._engines.values():
            engine.open = True

    # Evacuation of the first data centre.

    def _shares(self, own: str) -> cold_shares.ColdShares | None:
        if not self._plan.limits_cold:
            return None
        names = [f"entry-{n}" for n in range(self._plan.entries)]
        return cold_shares.ColdShares(
            own, lambda: names, lambda: 0, lambda: len(names) > 1, self._time
        )

    def _start_evacuation(self) -> None:
        regions = {
            _data_centre(n): f"region-{n}" for n in range(self._plan.regions)
        }
        evacuated = frozenset({ids.DataCentreId(_data_centre(0))})
        self._placement = replica_filters.Placement(regions, None, evacuated)

    def _end_evacuation(self) -> None:
        now_ms = self._time.now_ms()
        self._placement = replica_filters.ANYWHERE
        self._cold_until_ms = now_ms + COLD_MS
        for entry in self._entries:
            entry.table.suspect_cold(ids.DataCentreId(_data_centre(0)), now_ms)

    # Load reports and their exchange between entries.

    def _report(self, name: str) -> None:
        number = int(name.partition("-")[2])
        engine = self._engines[name]
        report = replica_view.LoadReport(
            address=f"127.0.0.1:{number + 1}",
            weights=1,
            running=engine.running,
            waiting=engine.waiting,
            pace=1.0,
            opens=engine.open,
        )
        region = number % self._plan.regions
        far = self._time.now_ms() % REPORT_FAR_MS < REPORT_NEAR_MS
        for entry in self._entries:
            if entry.region == region or far:
                self._schedule_in(
                    REPORT_LAG_MS, self._report_handler(entry, report)
                )
        self._schedule_in(REPORT_NEAR_MS, lambda: self._report(name))

    def _report_handler(
        self, entry: _Entry, report: replica_view.LoadReport
    ) -> Callable[[], None]:
        def handle() -> None:
            entry.table.handle_report(report, self._time.now_ms())

        return handle

    def _exchange(self, entry: _Entry) -> None:
        cell = self._cells.of_entry(entry.name)
        cell_entries = () if cell is None else cell.entries
        load_updates = entry.load_updates.changed(
            len(cell_entries) - 1, self._time.now_ms()
        )
        if load_updates:
            self.load_messages += 1
            for other in self._entries:
                if other is not entry and other.name in cell_entries:
                    other.loads.update(entry.name, load_updates)
        self._schedule_in(EXCHANGE_MS, lambda: self._exchange(entry))


def _config(plan: overload_plan.Plan) -> fleet.FleetConfig:
    service = fleet.Service(
        service_id=ids.ServiceId("s"),
        connections_max=64,
        engine=SPEC,
        cold_start_ms=COLD_MS,
        cold_per_s=plan.cold_per_s,
    )
    return fleet.FleetConfig(
        version=1,
        routes=[],
        services=[service],
        customers=None,
        limits=fleet.CallerLimits(),
    )


def most_in_a_second(arrivals_ms: list[float]) -> int:
    """Returns the most arrivals within any one second."""
    return max(
        (
            sum(
                start_ms <= arrival_ms < start_ms + _MS
                for arrival_ms in arrivals_ms
            )
            for start_ms in arrivals_ms
        ),
        default=0,
    )


def _answer(engine: overload_engine.Engine) -> wire.ReplicaAnswer:
    return wire.ReplicaAnswer(
        status=200 if engine.open else errors.MISDIRECTED,
        matches_request=True,
        signed=True,
        not_run=not engine.open,
        encoded=False,
        weights=1,
        load=wire.ReplicaLoad(engine.running, engine.waiting),
        headers=[],
    )
