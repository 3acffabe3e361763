"""Model of settings: one entry, one agent and a service with stale reads.

Revisions increase at the service. Readers may see any revision up to the
newest, as from a stale replica. Entry and agent exchange heartbeats with
their revisions, and documents with values. The entry may be replaced by a
new process without state; the link between them may be cut and restored. The
entry starts work at the agent.
"""

from __future__ import annotations

import dataclasses

from marlramp.protocol import messages
from marlramp.settings import store
from models import report
from models import state_space

_NEWEST = 3
_KEY = "deployment/model"
_NONE = -1


@dataclasses.dataclass(frozen=True)
class State:
    """State of service, entry, agent and link.

    Attributes:
      published: newest revision at the service.
      entry: revision in force at the entry, -1 for none.
      agent: revision in force at the agent, -1 for none.
      agent_heartbeat: agent's revision in the last heartbeat received on
        this link, None if there was none.
      linked: whether the link between them is up.
      restarted: whether the entry was replaced.
      started: revisions of entry and agent when work was last started.
    """

    published: int = 1
    entry: int = _NONE
    agent: int = _NONE
    agent_heartbeat: int | None = None
    linked: bool = True
    restarted: bool = False
    started: tuple[int, int] | None = None


@dataclasses.dataclass(frozen=True)
class Rules:
    """Switches that seed one bug each when turned off."""

    compares_revisions: bool = True
    waits_for_heartbeat: bool = True
    waits_when_behind: bool = True


def _adopt(current: int, offered: int, rules: Rules) -> int:
    return max(current, offered) if rules.compares_revisions else offered


def _may_start(state: State, rules: Rules) -> bool:
    if not state.linked or state.entry == _NONE or state.agent == _NONE:
        return False
    if state.agent_heartbeat is None:
        return not rules.waits_for_heartbeat
    return state.agent_heartbeat <= state.entry or not rules.waits_when_behind


def _read_action(
    process: str, revision: int, rules: Rules
) -> state_space.Action[State]:
    def apply(state: State) -> State:
        current = state.entry if process == "entry" else state.agent
        adopted = _adopt(current, revision, rules)
        if process == "entry":
            return dataclasses.replace(state, entry=adopted)
        return dataclasses.replace(state, agent=adopted)

    return state_space.Action(
        f"{process}_reads_{revision}",
        lambda s: revision <= s.published,
        apply,
    )


def build(rules: Rules) -> state_space.Model[State]:
    """Returns the model under `rules`."""
    reads = [
        _read_action(process, revision, rules)
        for process in ("entry", "agent")
        for revision in range(1, _NEWEST + 1)
    ]
    return state_space.Model(
        init=State(),
        actions=[
            *reads,
            state_space.Action(
                "publish",
                lambda s: s.published < _NEWEST,
                lambda s: dataclasses.replace(s, published=s.published + 1),
            ),
            state_space.Action(
                "heartbeat",
                lambda s: s.linked and s.agent != _NONE,
                lambda s: dataclasses.replace(s, agent_heartbeat=s.agent),
            ),
            state_space.Action(
                "offer_to_entry",
                lambda s: s.linked and s.agent > s.entry,
                lambda s: dataclasses.replace(
                    s, entry=_adopt(s.entry, s.agent, rules)
                ),
            ),
            state_space.Action(
                "offer_to_agent",
                lambda s: s.linked and s.entry > s.agent,
                lambda s: dataclasses.replace(
                    s, agent=_adopt(s.agent, s.entry, rules)
                ),
            ),
            state_space.Action(
                "cut",
                lambda s: s.linked,
                lambda s: dataclasses.replace(
                    s, linked=False, agent_heartbeat=None
                ),
            ),
            state_space.Action(
                "mend",
                lambda s: not s.linked,
                lambda s: dataclasses.replace(s, linked=True),
            ),
            state_space.Action(
                "replace_entry",
                lambda s: not s.restarted,
                lambda s: dataclasses.replace(
                    s, entry=_NONE, agent_heartbeat=None, restarted=True
                ),
            ),
            state_space.Action(
                "start_work",
                lambda s: _may_start(s, rules),
                lambda s: dataclasses.replace(
                    s, started=(s.entry, s.agent_heartbeat or s.agent)
                ),
            ),
        ],
        invariants={
            "work_never_on_older_settings": (
                lambda s: s.started is None or s.started[0] >= s.started[1]
            ),
        },
        edge_invariants={
            "entry_never_reverts": (
                lambda before, action, after: (
                    action == "replace_entry" or after.entry >= before.entry
                )
            ),
            "agent_never_reverts": (
                lambda before, action, after: after.agent >= before.agent
            ),
        },
    )


class _StoreReplay:
    """Replays a trace on two real settings stores."""

    def __init__(self) -> None:
        self.entry = store.SettingsStore([_KEY])
        self.agent = store.SettingsStore([_KEY])
        self.state = State()

    def step(self, action: str) -> None:
        """Executes one action of the model on the real stores."""
        name, _, number = action.rpartition("_")
        if name == "entry_reads":
            self.entry.offer(_document(int(number)))
        elif name == "agent_reads":
            self.agent.offer(_document(int(number)))
        elif action == "offer_to_entry":
            for found in self.agent.newer_than(self.entry.revisions()):
                self.entry.offer(found)
        elif action == "offer_to_agent":
            for found in self.entry.newer_than(self.agent.revisions()):
                self.agent.offer(found)
        elif action == "start_work":
            agent_heartbeat = self.state.agent_heartbeat
            assert agent_heartbeat is not None
            assert not self.entry.behind([agent_heartbeat])
            started = (self.entry.revisions()[0], agent_heartbeat)
            self.state = dataclasses.replace(self.state, started=started)
        else:
            self._step_environment(action)

    def _step_environment(self, action: str) -> None:
        if action == "publish":
            published = self.state.published + 1
            self.state = dataclasses.replace(self.state, published=published)
        elif action == "heartbeat":
            agent_heartbeat = self.agent.revisions()[0]
            self.state = dataclasses.replace(
                self.state, agent_heartbeat=agent_heartbeat
            )
        elif action == "cut":
            self.state = dataclasses.replace(
                self.state, linked=False, agent_heartbeat=None
            )
        elif action == "mend":
            self.state = dataclasses.replace(self.state, linked=True)
        elif action == "replace_entry":
            self.entry = store.SettingsStore([_KEY])
            self.state = dataclasses.replace(
                self.state, agent_heartbeat=None, restarted=True
            )

    def project(self) -> State:
        """Returns the model state that corresponds to the real stores."""
        return dataclasses.replace(
            self.state,
            entry=self.entry.revisions()[0],
            agent=self.agent.revisions()[0],
        )


def _document(revision: int) -> messages.Document:
    return messages.Document(_KEY, revision, "schema = 1\n")


def _replay() -> int:
    return report.replay(build(Rules()), State(), _StoreReplay)


SPECIFICATION = report.Specification(
    "settings",
    build(Rules()),
    [
        report.SeededBug(
            "a lower revision is adopted",
            build(Rules(compares_revisions=False)),
            "entry_never_reverts",
        ),
        report.SeededBug(
            "a replaced entry serves before it receives a heartbeat",
            build(Rules(waits_for_heartbeat=False)),
            "work_never_on_older_settings",
        ),
        report.SeededBug(
            "an entry serves while it is behind",
            build(Rules(waits_when_behind=False)),
            "work_never_on_older_settings",
        ),
    ],
    _replay,
)
