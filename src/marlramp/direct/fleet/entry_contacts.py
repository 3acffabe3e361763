"""An agent's view of the other processes: its entries and other agents.

An agent knows only a few entries, those that it exchanges messages with. Its
coordinators send it the list of these entries and of its neighbouring agents.
While it receives nothing from a coordinator, it contacts the seeds.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core.membership import members
from marlramp.direct.fleet import member_sync
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.settings import node

SEED_RETRY_MS = 1_000.0
"""Interval between introductions while the agent has no coordinator."""

MERGE_MS = 500.0
"""Minimum interval between two changes of the neighbours. Several coordinators
report the same neighbours, and each change reassigns the pieces to fetch from
the origin."""

NEIGHBOURS_KNOWN_MS = 1_500.0
"""Time after the first message of a coordinator by which the lists of all
coordinators have arrived and are applied."""

COORDINATORS_MAX = 16
"""Most coordinators whose lists are kept; usually there are three."""

_SEED = "seed:"


class _View(msgspec.Struct):
    """The entries and agents that one coordinator listed.

    Attributes:
      heard_ms: when the agent last received something from the coordinator.
      number: number of the last list applied, 0 before the first.
      entries: the entries that the agent exchanges messages with.
      agents: the neighbouring agents, by VM.
    """

    heard_ms: float
    number: int = 0
    entries: list[members.Member] = []
    agents: dict[str, members.Member] = {}


class EntryContacts:
    """Keeps links to the entries that an agent exchanges messages with."""

    def __init__(
        self,
        own: members.Member,
        incarnation: int,
        seeds: list[node.Address],
        on_agents: Callable[[dict[str, members.Member]], None],
        on_entries: Callable[[dict[str, members.Member]], None],
        time: clock.Clock,
    ) -> None:
        """Starts without any entry.

        Args:
          own: this agent.
          incarnation: its incarnation, higher than that of any earlier
            process on the VM.
          seeds: entries to contact first; some may be down.
          on_agents: called with the neighbouring agents, by VM, when they
            changed.
          on_entries: called with the entries, by VM, when they changed.
          time: the clock.
        """
        self._own = members.MemberUpdate(
            own, incarnation, members.MemberState.STARTING
        )
        self._seeds = seeds
        self._on_agents = on_agents
        self._on_entries = on_entries
        self._clock = time
        self._links: member_sync.Links | None = None
        self._views: dict[str, _View] = {}
        self._entries: dict[str, members.Member] = {}
        self._agents: dict[str, members.Member] = {}
        self._changed = False
        self._merged_ms = float("-inf")
        self._contacted_ms = float("-inf")
        self._first_heard_ms: float | None = None

    def attach(self, links: member_sync.Links) -> None:
        """Sets the links to send messages on."""
        self._links = links

    def set_seeds(self, seeds: list[node.Address]) -> None:
        """Replaces the seeds."""
        self._seeds = seeds

    def set_engine(self, *, present: bool) -> None:
        """Announces whether the engine beside this agent responds."""
        state = members.MemberState.STARTING
        if present:
            state = members.MemberState.READY
        if state is not self._own.state:
            self._announce(self._own.incarnation + 1, state)

    @property
    def is_coordinated(self) -> bool:
        """Whether any coordinator counts as alive."""
        horizon_ms = self._clock.now_ms() - members.ALIVE_TO_AGENT_MS
        return any(view.heard_ms >= horizon_ms for view in self._views.values())

    @property
    def knows_neighbours(self) -> bool:
        """Whether the neighbours are known, and no longer just arriving."""
        if self._first_heard_ms is None:
            return False
        known_ms = self._first_heard_ms + NEIGHBOURS_KNOWN_MS
        return self._clock.now_ms() >= known_ms

    @property
    def coordinators(self) -> list[str]:
        """VMs of the coordinators that this agent received something from.

        Silent ones are removed by `tick`.
        """
        return list(self._views)

    @property
    def entries(self) -> list[str]:
        """VMs of the entries that this agent exchanges messages with."""
        return list(self._entries)

    def broadcast(
        self,
        message: msgspec.Struct,
        within: Callable[[members.Member], bool] = lambda _: True,
    ) -> None:
        """Sends a message to this agent's entries.

        Args:
          message: the message.
          within: returns whether an entry is to receive the message.
        """
        encoded = codec.encode_once(message)
        for vm_id, entry in self._entries.items():
            if within(entry):
                self._open_links().send_encoded(vm_id, encoded)

    def tick(self) -> None:
        """Contacts seeds if no coordinator is alive, and applies changes.

        When the last coordinator falls silent, its lists stay in use.
        """
        now_ms = self._clock.now_ms()
        horizon_ms = now_ms - members.ALIVE_TO_AGENT_MS
        for vm_id, view in list(self._views.items()):
            if view.heard_ms < horizon_ms:
                del self._views[vm_id]
                self._changed = bool(self._views)
        if not self._views and now_ms - self._contacted_ms >= SEED_RETRY_MS:
            self._contacted_ms = now_ms
            self._contact_seeds()
            for entry in self._entries.values():
                self._introduce(entry)
        if self._changed and now_ms - self._merged_ms >= MERGE_MS:
            self._merged_ms = now_ms
            self._changed = False
            self._merge_views()

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        """Handles a message from an entry."""
        now_ms = self._clock.now_ms()
        match message:
            case fleet_messages.Hello():
                if name.startswith(_SEED):
                    # The seed introduced itself: its link is named by VM from
                    # now on.
                    self._open_links().close(name)
                    self._introduce(message.news.member)
            case fleet_messages.MembersNews():
                self._refute(message.news)
            case fleet_messages.Neighbours():
                self._handle_neighbours(name, message, now_ms)
            case fleet_messages.Guide():
                self._handle_guide(name, message, now_ms)

    def _view(self, name: str, now_ms: clock.Millis) -> _View | None:
        """Returns the lists of a coordinator, None if there are too many."""
        if name not in self._views and len(self._views) >= COORDINATORS_MAX:
            return None
        if self._first_heard_ms is None:
            self._first_heard_ms = now_ms
        return self._views.setdefault(name, _View(now_ms, agents={}))

    def _handle_guide(
        self, name: str, guide: fleet_messages.Guide, now_ms: clock.Millis
    ) -> None:
        view = self._view(name, now_ms)
        if view is None:
            return
        view.heard_ms = now_ms
        if guide.neighbours != view.number:
            self._request_all(name)

    def _handle_neighbours(
        self,
        name: str,
        update: fleet_messages.Neighbours,
        now_ms: clock.Millis,
    ) -> None:
        view = self._view(name, now_ms)
        if view is None:
            return
        view.heard_ms = now_ms
        if update.after not in (0, view.number):
            self._request_all(name)
            return
        agents = {} if update.after == 0 else view.agents
        for agent in update.joined:
            agents[agent.vm_id] = agent
        for vm_id in update.left:
            agents.pop(vm_id, None)
        if len(agents) > fleet_messages.MEMBERS_MAX:
            logs.log("neighbours_refused", entry=name, agents=len(agents))
            del self._views[name]
            return
        view.number = update.number
        view.agents = agents
        view.entries = update.entries
        self._changed = True

    def _request_all(self, name: str) -> None:
        self._open_links().send(name, fleet_messages.NeighboursRequest())

    def _merge_views(self) -> None:
        """Applies the union of what the coordinators listed."""
        entries: dict[str, members.Member] = {}
        agents: dict[str, members.Member] = {}
        for view in self._views.values():
            entries.update((entry.vm_id, entry) for entry in view.entries)
            if len(entries) > fleet_messages.ENTRIES_MAX:
                logs.log("entries_refused", entries=len(entries))
                return
            agents.update(view.agents)
        agents.pop(self._own.vm_id, None)
        if entries:
            self._set_entries(entries)
        if agents != self._agents:
            self._agents = agents
            self._on_agents(agents)

    def _set_entries(self, entries: dict[str, members.Member]) -> None:
        before = self._entries
        self._entries = entries
        for vm_id in sorted(before.keys() - entries.keys()):
            self._open_links().close(vm_id)
            logs.log("entry_left", vm=vm_id)
        for vm_id, entry in entries.items():
            if before.get(vm_id) != entry:
                self._introduce(entry)
                logs.log("entry_joined", vm=vm_id)
        if before != entries:
            self._on_entries(entries)

    def _refute(self, updates: list[members.MemberUpdate]) -> None:
        """Raises the incarnation if this agent is considered lost."""
        for each in updates:
            if each.vm_id == self._own.vm_id and each.replaces(self._own):
                self._announce(each.incarnation + 1, self._own.state)

    def _announce(self, incarnation: int, state: members.MemberState) -> None:
        self._own = members.MemberUpdate(self._own.member, incarnation, state)
        self.broadcast(self._introduction())

    def _introduce(self, entry: members.Member) -> None:
        links = self._open_links()
        links.open(entry.vm_id, entry.host, entry.port)
        links.send(entry.vm_id, self._introduction())

    def _contact_seeds(self) -> None:
        for seed in self._seeds:
            name = f"{_SEED}{seed}"
            self._open_links().open(name, seed.host, seed.port)
            self._open_links().send(name, self._introduction())

    def _introduction(self) -> fleet_messages.Hello:
        return fleet_messages.Hello(news=self._own, sample=[], reply=True)

    def _open_links(self) -> member_sync.Links:
        if self._links is None:
            raise RuntimeError("no links are attached")
        return self._links
