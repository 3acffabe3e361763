"""Model of a replica that restarts under the same id, and of one entry.

The replica loads weights, loses them on a restart, and writes its state to the
replica list. Its reports may reach the entry at any later time and in any
order. The entry only relies on weights of the newest start that it knows of.
"""

from __future__ import annotations

import dataclasses

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from models import report
from models import state_space

_STARTS = 3
_ID = "replica-1"
_ADDRESS = "10.0.0.1:80"


@dataclasses.dataclass(frozen=True, order=True)
class ReplicaReport:
    """State that a replica reported at some time.

    Attributes:
      born: number of the start.
      weights: loaded version, 0 for none.
    """

    born: int = 1
    weights: int = 0


@dataclasses.dataclass(frozen=True)
class State:
    """Combined state of replica, replica list and entry.

    Attributes:
      current: current state of the replica.
      all_reports: all states that it ever reported.
      listed: its record in the list.
      read: the record as last read by the entry.
      latest_report: report in use at the entry, None if there is none or it is
        too old.
      is_late: whether that report is too old to override a newer version in
        the list.
      known: newest start known to the entry.
      assumed_weights: weights that the entry assumes to be loaded.
    """

    current: ReplicaReport = ReplicaReport()
    all_reports: frozenset[ReplicaReport] = frozenset([ReplicaReport()])
    listed: ReplicaReport = ReplicaReport()
    read: ReplicaReport = ReplicaReport()
    latest_report: ReplicaReport | None = None
    is_late: bool = False
    known: int = 1
    assumed_weights: int = 0


@dataclasses.dataclass(frozen=True)
class Rules:
    """Switches that seed one bug each when turned off."""

    compares_starts: bool = True
    forgets_earlier_start: bool = True


def _derive_weights(state: State, rules: Rules) -> State:
    """Returns the state with an updated report and assumed weights."""
    latest_report = state.latest_report
    if latest_report is not None and latest_report.born < state.known:
        latest_report = None
    is_late = state.is_late and latest_report is not None
    assumed_weights = state.read.weights
    if rules.forgets_earlier_start and state.read.born < state.known:
        assumed_weights = 0
    if latest_report is not None:
        reported_weights = latest_report.weights
        assumed_weights = (
            max(assumed_weights, reported_weights)
            if is_late
            else reported_weights
        )
    return dataclasses.replace(
        state,
        latest_report=latest_report,
        is_late=is_late,
        assumed_weights=assumed_weights,
    )


def _receive_report(
    state: State, reported: ReplicaReport, rules: Rules
) -> State:
    if rules.compares_starts and reported.born < state.known:
        return state
    updated = dataclasses.replace(
        state, latest_report=reported, is_late=False, known=reported.born
    )
    return _derive_weights(updated, rules)


def _read_list(state: State, rules: Rules) -> State:
    known = max(state.known, state.listed.born)
    read = dataclasses.replace(state, read=state.listed, known=known)
    return _derive_weights(read, rules)


def _report_state(state: State, reported: ReplicaReport) -> State:
    return dataclasses.replace(
        state, current=reported, all_reports=state.all_reports | {reported}
    )


def _receive_action(
    reported: ReplicaReport, rules: Rules
) -> state_space.Action[State]:
    return state_space.Action(
        f"hear_{reported.born}_{reported.weights}",
        lambda s: reported in s.all_reports,
        lambda s: _receive_report(s, reported, rules),
    )


def build(rules: Rules) -> state_space.Model[State]:
    """Returns the model under `rules`."""
    reports = [
        ReplicaReport(b, w) for b in range(1, _STARTS + 1) for w in (0, 1)
    ]
    return state_space.Model(
        init=State(),
        actions=[
            *[_receive_action(reported, rules) for reported in reports],
            state_space.Action(
                "report_ages",
                lambda s: s.latest_report is not None and not s.is_late,
                lambda s: _derive_weights(
                    dataclasses.replace(s, is_late=True), rules
                ),
            ),
            state_space.Action(
                "report_expires",
                lambda s: s.is_late,
                lambda s: _derive_weights(
                    dataclasses.replace(s, latest_report=None), rules
                ),
            ),
            state_space.Action(
                "load",
                lambda s: s.current.weights == 0,
                lambda s: _report_state(s, ReplicaReport(s.current.born, 1)),
            ),
            state_space.Action(
                "start_again",
                lambda s: s.current.born < _STARTS,
                lambda s: _report_state(
                    s, ReplicaReport(s.current.born + 1, 0)
                ),
            ),
            state_space.Action(
                "write_entry",
                lambda s: s.listed != s.current,
                lambda s: dataclasses.replace(s, listed=s.current),
            ),
            state_space.Action(
                "read_list",
                lambda s: s.read != s.listed,
                lambda s: _read_list(s, rules),
            ),
        ],
        invariants={
            "believed_weights_were_held_by_the_known_start": (
                lambda s: (
                    s.assumed_weights == 0
                    or ReplicaReport(s.known, s.assumed_weights)
                    in s.all_reports
                )
            ),
        },
        edge_invariants={
            "an_earlier_start_never_comes_back": (
                lambda before, action, after: after.known >= before.known
            ),
        },
    )


class _TableReplay:
    """Replays a trace on a real catalog and replica table."""

    def __init__(self) -> None:
        self.state = State()
        self._catalog = catalog.Catalog()
        self._table = replica_table.ReplicaTable()
        self._revision = 0
        self._time = clock.ManualClock(0.0)
        self._list(ReplicaReport())

    def step(self, action: str) -> None:
        """Executes one action of the model on the real objects."""
        if action.startswith("hear_"):
            _, born, weights = action.split("_")
            reported = ReplicaReport(int(born), int(weights))
            self._table.handle_report(_report(reported), self._time.now_ms())
        elif action == "report_ages":
            self._time.advance(replica_view.REPORT_FRESH_MS)
        elif action == "report_expires":
            self._time.advance(
                replica_view.WEIGHTS_KNOWN_MS - replica_view.REPORT_FRESH_MS
            )
        elif action == "read_list":
            self._list(self.state.listed)
        else:
            environment = {a.name: a for a in build(Rules()).actions}
            self.state = environment[action].apply(self.state)

    def project(self) -> State:
        """Returns the model state that corresponds to the real objects."""
        view = self._view
        now_ms = self._time.now_ms()
        age_ms = now_ms - view.reported_ms
        valid = age_ms < replica_view.WEIGHTS_KNOWN_MS
        latest_report = view.report if valid else None
        return dataclasses.replace(
            self.state,
            read=ReplicaReport(
                view.replica.born_ms or 0, view.replica.weights or 0
            ),
            latest_report=None
            if latest_report is None
            else ReplicaReport(
                latest_report.born_ms or 0, latest_report.weights
            ),
            is_late=latest_report is not None
            and age_ms >= replica_view.REPORT_FRESH_MS,
            known=view.born_ms or 0,
            assumed_weights=view.weights(now_ms),
        )

    @property
    def _view(self) -> replica_view.ReplicaView:
        view = self._table.get(_ID)
        assert view is not None
        return view

    def _list(self, reported: ReplicaReport) -> None:
        self._revision += 1
        change = catalog.ReplicaChange(self._revision, _ID, _replica(reported))
        self._catalog.apply([change], self._time.now_ms())
        self._table.sync(self._catalog, self._time.now_ms())


def _replica(reported: ReplicaReport) -> fleet.Replica:
    return fleet.Replica(
        replica_id=_ID,
        service_id=ids.ServiceId("s"),
        address=_ADDRESS,
        data_centre=ids.DataCentreId("dc-1"),
        slots=1,
        state=fleet.ReplicaState.HEALTHY,
        weights=reported.weights,
        born_ms=reported.born,
    )


def _report(reported: ReplicaReport) -> replica_view.LoadReport:
    return replica_view.LoadReport(
        address=_ADDRESS,
        weights=reported.weights,
        running=0,
        waiting=0,
        pace=1.0,
        opens=True,
        born_ms=reported.born,
    )


def _replay() -> int:
    return report.replay(build(Rules()), State(), _TableReplay)


SPECIFICATION = report.Specification(
    "replica restart",
    build(Rules()),
    [
        report.SeededBug(
            "a delayed report of an earlier start is accepted",
            build(Rules(compares_starts=False)),
            "an_earlier_start_never_comes_back",
        ),
        report.SeededBug(
            "weights of an earlier start are still assumed loaded",
            build(Rules(forgets_earlier_start=False)),
            "believed_weights_were_held_by_the_known_start",
        ),
    ],
    _replay,
)
