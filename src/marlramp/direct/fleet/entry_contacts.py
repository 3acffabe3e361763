"""An agent's view of the other processes: its entries and other agents.

An agent knows only the entries that it deals with. They name themselves and
the other agents to it; while none does, it greets the seeds.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core import members
from marlramp.direct.fleet import member_sync
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.settings import node

GREET_MS = 1_000.0
"""Between two greetings while no entry guides this agent."""

PLACE_MS = 500.0
"""Least time between two changes of the other agents: several entries tell of
the same ones, and each change has the draws of pieces divided anew."""

_SEED = "seed:"


class _View(msgspec.Struct):
    """What one entry names.

    Attributes:
      heard_ms: when it was last heard.
      number: number of its last message, 0 before the first.
      entries: the entries that it names.
      agents: the agents that it names.
    """

    heard_ms: float
    number: int = 0
    entries: list[members.Member] = []
    agents: dict[str, members.Member] = {}


class EntryContacts:
    """Keeps links to the entries that an agent deals with."""

    def __init__(
        self,
        own: members.Member,
        incarnation: int,
        seeds: list[node.Address],
        on_agents: Callable[[dict[str, members.Member]], None],
        on_entries: Callable[[dict[str, members.Member]], None],
        time: clock.Clock,
    ) -> None:
        """Knows no entry until the seeds answer.

        Args:
          own: this agent.
          incarnation: its incarnation, higher than that of any earlier
            process on the VM.
          seeds: entries to greet first, possibly down.
          on_agents: takes the other agents, by VM, when they changed.
          on_entries: takes the entries dealt with, by VM, when they changed.
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
        self._placed_ms = float("-inf")
        self._greeted_ms = float("-inf")

    def attach(self, links: member_sync.Links) -> None:
        """Takes the links to send on."""
        self._links = links

    def set_seeds(self, seeds: list[node.Address]) -> None:
        """Takes other seeds."""
        self._seeds = seeds

    def set_engine(self, *, present: bool) -> None:
        """Tells the entries whether the engine beside this agent answers."""
        state = members.MemberState.STARTING
        if present:
            state = members.MemberState.READY
        if state is not self._own.state:
            self._raise(self._own.incarnation + 1, state)

    @property
    def guided(self) -> bool:
        """Whether any entry was heard lately."""
        horizon_ms = self._clock.now_ms() - members.ALIVE_TO_AGENT_MS
        return any(view.heard_ms >= horizon_ms for view in self._views.values())

    @property
    def guides(self) -> list[str]:
        """The entries that told this agent something lately."""
        return list(self._views)

    @property
    def entries(self) -> list[str]:
        """The entries that this agent deals with."""
        return list(self._entries)

    def broadcast(
        self,
        message: msgspec.Struct,
        within: Callable[[members.Member], bool] = lambda _: True,
    ) -> None:
        """Sends to the entries that this agent deals with.

        Args:
          message: the message.
          within: tells which of them it is for.
        """
        encoded = codec.encode_once(message)
        for vm_id, entry in self._entries.items():
            if within(entry):
                self._open_links().send_encoded(vm_id, encoded)

    def tick(self) -> None:
        """Greets seeds while alone and takes over what changed."""
        now_ms = self._clock.now_ms()
        horizon_ms = now_ms - members.ALIVE_TO_AGENT_MS
        for vm_id, view in list(self._views.items()):
            if view.heard_ms < horizon_ms:
                del self._views[vm_id]
                self._changed = bool(self._views)
        if not self._views and now_ms - self._greeted_ms >= GREET_MS:
            self._greeted_ms = now_ms
            self._greet_seeds()
            for entry in self._entries.values():
                self._greet(entry)
        if self._changed and now_ms - self._placed_ms >= PLACE_MS:
            self._placed_ms = now_ms
            self._changed = False
            self._place()

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        """Takes a message of an entry about members."""
        now_ms = self._clock.now_ms()
        match message:
            case fleet_messages.Hello():
                if name.startswith(_SEED):
                    # The seed has a name now; under it it tells the rest.
                    self._open_links().close(name)
                    self._greet(message.news.member)
            case fleet_messages.MembersNews():
                self._contradict(message.news)
            case fleet_messages.Neighbours():
                self._take_neighbours(name, message, now_ms)
            case fleet_messages.Guide():
                self._take_guide(name, message, now_ms)

    def _take_guide(
        self, name: str, guide: fleet_messages.Guide, now_ms: clock.Millis
    ) -> None:
        view = self._views.setdefault(name, _View(now_ms, agents={}))
        view.heard_ms = now_ms
        if guide.neighbours != view.number:
            self._ask_all(name)

    def _take_neighbours(
        self,
        name: str,
        news: fleet_messages.Neighbours,
        now_ms: clock.Millis,
    ) -> None:
        view = self._views.setdefault(name, _View(now_ms, agents={}))
        view.heard_ms = now_ms
        if news.after not in (0, view.number):
            self._ask_all(name)
            return
        agents = {} if news.after == 0 else view.agents
        for agent in news.joined:
            agents[agent.vm_id] = agent
        for vm_id in news.left:
            agents.pop(vm_id, None)
        view.number = news.number
        view.agents = agents
        view.entries = news.entries
        self._changed = True

    def _ask_all(self, name: str) -> None:
        self._open_links().send(name, fleet_messages.NeighboursRequest())

    def _place(self) -> None:
        """Takes over what the entries heard name between them."""
        entries: dict[str, members.Member] = {}
        agents: dict[str, members.Member] = {}
        for view in self._views.values():
            entries.update((entry.vm_id, entry) for entry in view.entries)
            agents.update(view.agents)
        agents.pop(self._own.vm_id, None)
        if entries:
            self._link(entries)
        if agents != self._agents:
            self._agents = agents
            self._on_agents(agents)

    def _link(self, entries: dict[str, members.Member]) -> None:
        before = self._entries
        self._entries = entries
        for vm_id in sorted(before.keys() - entries.keys()):
            self._open_links().close(vm_id)
            logs.log("entry_left", vm=vm_id)
        for vm_id, entry in entries.items():
            if before.get(vm_id) != entry:
                self._greet(entry)
                logs.log("entry_joined", vm=vm_id)
        if before != entries:
            self._on_entries(entries)

    def _contradict(self, news: list[members.MemberUpdate]) -> None:
        """Raises the incarnation if this agent is taken as lost."""
        for each in news:
            if each.vm_id == self._own.vm_id and each.replaces(self._own):
                self._raise(each.incarnation + 1, self._own.state)

    def _raise(self, incarnation: int, state: members.MemberState) -> None:
        self._own = members.MemberUpdate(self._own.member, incarnation, state)
        self.broadcast(self._hello())

    def _greet(self, entry: members.Member) -> None:
        links = self._open_links()
        links.open(entry.vm_id, entry.host, entry.port)
        links.send(entry.vm_id, self._hello())

    def _greet_seeds(self) -> None:
        for seed in self._seeds:
            name = f"{_SEED}{seed}"
            self._open_links().open(name, seed.host, seed.port)
            self._open_links().send(name, self._hello())

    def _hello(self) -> fleet_messages.Hello:
        return fleet_messages.Hello(news=self._own, sample=[], reply=True)

    def _open_links(self) -> member_sync.Links:
        if self._links is None:
            raise RuntimeError("no links are attached")
        return self._links
