"""Links from one agent to the entries whose requests it runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core.membership import entry_choice
from marlramp.platform import clients
from marlramp.protocol import codec
from marlramp.protocol import messages
from marlramp.shell import links

HEARD_TIMEOUT_MS = 5_000.0
"""An entry from which nothing arrives for longer is treated as gone."""


class EntryLink:
    """The link to one entry and the state that the entry last reported.

    Attributes:
      vm: record of the entry in the platform's list.
      connector: connection to the entry.
      heard_ms: when a message last arrived.
      demand: requests that the entry runs at this agent or would send to it.
      leaving: whether the entry is leaving.
      revisions: revisions of the settings that the entry holds.
      task: receives the messages of the link.
    """

    def __init__(
        self, vm: clients.ListedVm, connector: links.Connector
    ) -> None:
        """Wraps a connector to the entry `vm`, which has reported nothing."""
        self.vm = vm
        self.connector = connector
        self.heard_ms = float("-inf")
        self.demand = 0
        self.leaving = False
        self.revisions: list[int] = []
        self.task: asyncio.Task[None] | None = None

    @property
    def can_use_grants(self) -> bool:
        """Whether the entry has, or may receive, calls to start.

        A leaving entry receives no new calls, but the calls that wait there can
        start nowhere else and without grants would end at their deadline.
        """
        return self.demand > 0 or not self.leaving


class EntryLinks:
    """Opens links to the chosen entries and passes on their messages."""

    def __init__(
        self,
        vm_id: ids.VmId,
        link_id: links.LinkId,
        context: links.LinkContext,
        totals: counters.Counters,
        time: clock.Clock,
        on_message: Callable[[ids.VmId, messages.FromEntry], None],
        on_open: Callable[[ids.VmId], None],
    ) -> None:
        """Calls `on_message` for each message and `on_open` for each link."""
        self._vm_id = vm_id
        self._link_id = link_id
        self._context = context
        self._totals = totals
        self._clock = time
        self._on_message = on_message
        self._on_open = on_open
        self._decoder = codec.entry_decoder()
        self._links: dict[ids.VmId, EntryLink] = {}

    @property
    def links(self) -> dict[ids.VmId, EntryLink]:
        """Open links by entry."""
        return self._links

    def heard(self) -> list[ids.VmId]:
        """Returns the entries heard from within `HEARD_TIMEOUT_MS`."""
        horizon_ms = self._clock.now_ms() - HEARD_TIMEOUT_MS
        return [
            entry_id
            for entry_id, link in self._links.items()
            if link.heard_ms >= horizon_ms
        ]

    def choose(
        self, entries: list[clients.ListedVm], data_centre: str, count: int
    ) -> None:
        """Links to `count` of the listed entries, this data centre's first.

        A leaving entry keeps its link until the list no longer holds it.
        """
        by_id = {ids.VmId(vm.vm_id): vm for vm in entries}
        chosen = entry_choice.choose_entries(
            self._vm_id,
            data_centre,
            {entry_id: vm.data_centre for entry_id, vm in by_id.items()},
            count,
        )
        for entry_id in [e for e in self._links if e not in chosen]:
            self._close(entry_id)
        for entry_id in chosen:
            link = self._links.get(entry_id)
            if link is not None and link.vm.port != by_id[entry_id].port:
                self._close(entry_id)
                link = None
            if link is None:
                self._open(entry_id, by_id[entry_id])

    def send(self, entry_id: ids.VmId, message: messages.FromAgent) -> None:
        """Sends a message to one entry, dropping it if the link is down."""
        link = self._links.get(entry_id)
        if link is None or not link.connector.send(codec.encode(message)):
            self._totals.add(
                counters.CounterName.MESSAGES_DROPPED, "entry_link"
            )

    def send_all(self, message: messages.FromAgent) -> None:
        """Sends a message to every entry that has a link."""
        data = codec.encode(message)
        for link in self._links.values():
            link.connector.send(data)

    def _open(self, entry_id: ids.VmId, vm: clients.ListedVm) -> None:
        connector = links.Connector(
            self._context, self._link_id, vm.host, vm.port
        )
        link = EntryLink(vm, connector)
        self._links[entry_id] = link
        link.task = asyncio.create_task(self._receive(entry_id, link))
        logs.log("entry_link_opened", entry=entry_id)
        self._on_open(entry_id)

    def _close(self, entry_id: ids.VmId) -> None:
        link = self._links.pop(entry_id)
        if link.task is not None:
            link.task.cancel()
        link.connector.close()
        logs.log("entry_link_closed", entry=entry_id)

    async def _receive(self, entry_id: ids.VmId, link: EntryLink) -> None:
        while True:
            for data in await link.connector.receive():
                self._handle_data(entry_id, link, data)

    def _handle_data(
        self, entry_id: ids.VmId, link: EntryLink, data: bytes
    ) -> None:
        try:
            message = self._decoder.decode(data)
        except codec.DecodeError as error:
            self._totals.add(
                counters.CounterName.MESSAGES_DROPPED, error.reason
            )
            return
        link.heard_ms = self._clock.now_ms()
        self._on_message(entry_id, message)
