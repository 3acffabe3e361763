"""Model of a replica that starts again under its id, and of one entry.

The replica loads weights, starts again and holds none, and writes what it holds
into the list. What it ever reported may reach the entry at any later time, in
any order. The entry believes weights of the newest start that it heard of.
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
class Word:
    """What a replica said at some time.

    Attributes:
      born: number of its start.
      weights: version that it held, 0 for none.
    """

    born: int = 1
    weights: int = 0


@dataclasses.dataclass(frozen=True)
class State:
    """State of replica, list and entry.

    Attributes:
      now: what the replica would say now.
      said: all that it ever said.
      listed: its entry in the list.
      read: the entry as the system read it last.
      told: the report that counts, None if there is none or it is too old.
      known: newest start that the entry heard of.
      believed: weights that the entry believes to be loaded.
    """

    now: Word = Word()
    said: frozenset[Word] = frozenset([Word()])
    listed: Word = Word()
    read: Word = Word()
    told: Word | None = None
    known: int = 1
    believed: int = 0


@dataclasses.dataclass(frozen=True)
class Rules:
    """Switches that seed one bug each when turned off."""

    compares_starts: bool = True
    forgets_earlier_start: bool = True


def _believe(state: State, rules: Rules) -> State:
    """Returns the state with what follows from what was read and told."""
    told = state.told
    if told is not None and told.born < state.known:
        told = None
    believed = state.read.weights
    if rules.forgets_earlier_start and state.read.born < state.known:
        believed = 0
    if told is not None:
        believed = told.weights
    return dataclasses.replace(state, told=told, believed=believed)


def _hear(state: State, word: Word, rules: Rules) -> State:
    if rules.compares_starts and word.born < state.known:
        return state
    heard = dataclasses.replace(state, told=word, known=word.born)
    return _believe(heard, rules)


def _read(state: State, rules: Rules) -> State:
    known = max(state.known, state.listed.born)
    read = dataclasses.replace(state, read=state.listed, known=known)
    return _believe(read, rules)


def _say(state: State, word: Word) -> State:
    return dataclasses.replace(state, now=word, said=state.said | {word})


def _hears(word: Word, rules: Rules) -> state_space.Action[State]:
    return state_space.Action(
        f"hear_{word.born}_{word.weights}",
        lambda s: word in s.said,
        lambda s: _hear(s, word, rules),
    )


def build(rules: Rules) -> state_space.Model[State]:
    """Returns the model under `rules`."""
    words = [Word(b, w) for b in range(1, _STARTS + 1) for w in (0, 1)]
    return state_space.Model(
        init=State(),
        actions=[
            *[_hears(word, rules) for word in words],
            state_space.Action(
                "report_ages",
                lambda s: s.told is not None,
                lambda s: _believe(dataclasses.replace(s, told=None), rules),
            ),
            state_space.Action(
                "load",
                lambda s: s.now.weights == 0,
                lambda s: _say(s, Word(s.now.born, 1)),
            ),
            state_space.Action(
                "start_again",
                lambda s: s.now.born < _STARTS,
                lambda s: _say(s, Word(s.now.born + 1, 0)),
            ),
            state_space.Action(
                "write_entry",
                lambda s: s.listed != s.now,
                lambda s: dataclasses.replace(s, listed=s.now),
            ),
            state_space.Action(
                "read_list",
                lambda s: s.read != s.listed,
                lambda s: _read(s, rules),
            ),
        ],
        invariants={
            "believed_weights_were_held_by_the_known_start": (
                lambda s: s.believed == 0 or Word(s.known, s.believed) in s.said
            ),
        },
        edge_invariants={
            "an_earlier_start_never_comes_back": (
                lambda before, action, after: after.known >= before.known
            ),
        },
    )


class _Real:
    """The shipped catalog and table, driven along a trace."""

    def __init__(self) -> None:
        self.state = State()
        self._catalog = catalog.Catalog()
        self._table = replica_table.ReplicaTable()
        self._revision = 0
        self._time = clock.ManualClock(0.0)
        self._list(Word())

    def step(self, action: str) -> None:
        """Does one action of the model with the real objects."""
        if action.startswith("hear_"):
            _, born, weights = action.split("_")
            word = Word(int(born), int(weights))
            self._table.handle_report(_report(word), self._time.now_ms())
        elif action == "report_ages":
            self._time.advance(replica_view.REPORT_FRESH_MS)
        elif action == "read_list":
            self._list(self.state.listed)
        else:
            environment = {a.name: a for a in build(Rules()).actions}
            self.state = environment[action].apply(self.state)

    def project(self) -> State:
        """Returns the model state that the real objects are in."""
        view = self._view
        now_ms = self._time.now_ms()
        fresh = now_ms - view.reported_ms < replica_view.REPORT_FRESH_MS
        told = view.report if fresh else None
        return dataclasses.replace(
            self.state,
            read=Word(view.replica.born_ms or 0, view.replica.weights or 0),
            told=None
            if told is None
            else Word(told.born_ms or 0, told.weights),
            known=view.born_ms or 0,
            believed=view.weights(now_ms),
        )

    @property
    def _view(self) -> replica_view.ReplicaView:
        view = self._table.get(_ID)
        assert view is not None
        return view

    def _list(self, word: Word) -> None:
        self._revision += 1
        change = catalog.ReplicaChange(self._revision, _ID, _replica(word))
        self._catalog.apply([change], self._time.now_ms())
        self._table.sync(self._catalog, self._time.now_ms())


def _replica(word: Word) -> fleet.Replica:
    return fleet.Replica(
        replica_id=_ID,
        service_id=ids.ServiceId("s"),
        address=_ADDRESS,
        data_centre=ids.DataCentreId("dc-1"),
        slots=1,
        state=fleet.ReplicaState.HEALTHY,
        weights=word.weights,
        born_ms=word.born,
    )


def _report(word: Word) -> replica_view.LoadReport:
    return replica_view.LoadReport(
        address=_ADDRESS,
        weights=word.weights,
        running=0,
        waiting=0,
        pace=1.0,
        opens=True,
        born_ms=word.born,
    )


def _replay() -> int:
    return report.replay(build(Rules()), State(), _Real)


SPECIFICATION = report.Specification(
    "replica restart",
    build(Rules()),
    [
        report.SeededBug(
            "a late word of an earlier start is taken",
            build(Rules(compares_starts=False)),
            "an_earlier_start_never_comes_back",
        ),
        report.SeededBug(
            "weights of an earlier start are still believed",
            build(Rules(forgets_earlier_start=False)),
            "believed_weights_were_held_by_the_known_start",
        ),
    ],
    _replay,
)
