"""Model of settings: one entry, one agent, a service that may be stale.

Revisions rise at the service. Readers may be shown any revision up to the
newest, as from a stale replica. Entry and agent exchange heartbeats with
their revisions, and documents with values. The entry may be replaced by one
with an empty memory; the link between them may be cut and mended. Work is
started by the entry at the agent.
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
      heard: the agent's revision as the entry last heard, None before.
      linked: whether messages pass between them.
      restarted: whether the entry was replaced.
      started: entry and agent revision when work was last started.
    """

    published: int = 1
    entry: int = _NONE
    agent: int = _NONE
    heard: int | None = None
    linked: bool = True
    restarted: bool = False
    started: tuple[int, int] | None = None


@dataclasses.dataclass(frozen=True)
class Rules:
    """Switches that seed one bug each when turned off."""

    compares: bool = True
    hears_first: bool = True
    waits_when_behind: bool = True


def _adopt(current: int, offered: int, rules: Rules) -> int:
    return max(current, offered) if rules.compares else offered


def _may_start(state: State, rules: Rules) -> bool:
    if not state.linked or state.entry == _NONE or state.agent == _NONE:
        return False
    if state.heard is None:
        return not rules.hears_first
    return state.heard <= state.entry or not rules.waits_when_behind


def _reads(
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
        _reads(process, revision, rules)
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
                lambda s: dataclasses.replace(s, heard=s.agent),
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
                lambda s: dataclasses.replace(s, linked=False, heard=None),
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
                    s, entry=_NONE, heard=None, restarted=True
                ),
            ),
            state_space.Action(
                "start_work",
                lambda s: _may_start(s, rules),
                lambda s: dataclasses.replace(
                    s, started=(s.entry, s.heard or s.agent)
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


class _Real:
    """Two shipped stores, driven along a trace."""

    def __init__(self) -> None:
        self.entry = store.SettingsStore([_KEY])
        self.agent = store.SettingsStore([_KEY])
        self.state = State()

    def step(self, action: str) -> None:
        """Does one action of the model with the real stores."""
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
            heard = self.state.heard
            assert heard is not None
            assert not self.entry.behind([heard])
            started = (self.entry.revisions()[0], heard)
            self.state = dataclasses.replace(self.state, started=started)
        else:
            self._environment(action)

    def _environment(self, action: str) -> None:
        if action == "publish":
            published = self.state.published + 1
            self.state = dataclasses.replace(self.state, published=published)
        elif action == "heartbeat":
            heard = self.agent.revisions()[0]
            self.state = dataclasses.replace(self.state, heard=heard)
        elif action == "cut":
            self.state = dataclasses.replace(
                self.state, linked=False, heard=None
            )
        elif action == "mend":
            self.state = dataclasses.replace(self.state, linked=True)
        elif action == "replace_entry":
            self.entry = store.SettingsStore([_KEY])
            self.state = dataclasses.replace(
                self.state, heard=None, restarted=True
            )

    def project(self) -> State:
        """Returns the model state that the real stores are in."""
        return dataclasses.replace(
            self.state,
            entry=self.entry.revisions()[0],
            agent=self.agent.revisions()[0],
        )


def _document(revision: int) -> messages.Document:
    return messages.Document(_KEY, revision, "schema = 1\n")


def _replay() -> int:
    return report.replay(build(Rules()), State(), _Real)


SPECIFICATION = report.Specification(
    "settings",
    build(Rules()),
    [
        report.SeededBug(
            "a lower revision is adopted",
            build(Rules(compares=False)),
            "entry_never_reverts",
        ),
        report.SeededBug(
            "a replaced entry serves before it hears an agent",
            build(Rules(hears_first=False)),
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
