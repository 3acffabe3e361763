"""Client of the platform's store, which can only be read and watched."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import TypeVar
import urllib.parse

import msgspec

from marlramp import counters
from marlramp import logs
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.platform import calls
from marlramp.platform import clients
from marlramp.platform import documents
from marlramp.settings import node
from marlramp.shell import http1_call

Value = TypeVar("Value")

READ_TIMEOUT_MS = 1_000.0
"""250 times the store's usual answer; a store that has not begun to answer by
then counts as down."""

WATCH_MARGIN_MS = 600.0
"""A watch whose answer has not begun by then after its wait counts as lost."""

ARRIVAL = http1_call.Arrival(silence_ms=READ_TIMEOUT_MS, least_per_s=65_536.0)
"""An answer that has begun is waited for while it arrives: 1 MB, the most that
the store sends at once, may take 17 s."""

REFUSED_KEYS_MAX = 1_000
"""Refused items that are remembered, so that each is logged and counted once
and not with each reading of the store."""

_GONE = 410


class HistoryGoneError(clients.PlatformError):
    """The store no longer has the changes after the revision asked for."""


class _Item(msgspec.Struct):
    key: str
    # Revision of the item's last change.
    revision: int
    data: bytes = b""
    deleted: bool = False


class _Range(msgspec.Struct):
    # Decoded one by one: an item that can't be must not hide the others.
    entries: list[msgspec.Raw]
    # The store's revision when it answered.
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw]
    at: int


class StoreClient:
    """Reads configuration, weights targets and replicas from the store."""

    def __init__(
        self,
        caller: http1_call.HttpCaller,
        address: node.Address,
        regions: Mapping[str, str],
        totals: counters.Counters,
    ) -> None:
        """Creates a client; nothing is sent before a call.

        Args:
          caller: sends the calls.
          address: address of the store.
          regions: region of each data centre of the deployment.
          totals: counters.
        """
        self._calls = calls.PlatformCalls(caller)
        self._items = _ItemDecoder(regions, totals)
        self._url = f"http://{address}"
        self._ranges = msgspec.json.Decoder(_Range)
        self._events = msgspec.json.Decoder(_Events)

    async def read_all(self, *, stale: bool = False) -> catalog.Snapshot:
        """Returns all that the store holds for the system.

        Args:
          stale: whether it may be seconds old, which costs a tenth and is not
            counted against the rate that all processes share.

        Raises:
          PlatformError: if the store does not answer usefully.
        """
        return await self._read("", stale=stale)

    async def read_targets(self) -> catalog.Snapshot:
        """Returns the weights named, possibly seconds old.

        They are a hundredth of what the store holds; see `read_all`.
        """
        return await self._read(documents.WEIGHTS_PREFIX, stale=True)

    async def _read(self, prefix: str, *, stale: bool) -> catalog.Snapshot:
        changes: list[catalog.Change] = []
        # A page's revision is at most the first page's, so that nothing that
        # changed between two pages is taken as read.
        revision: int | None = None
        after = ""
        while True:
            page = await self._read_page(prefix, after, stale=stale)
            items = self._items.read(page.entries)
            changes.extend(self._items.changes(items))
            revision = page.at if revision is None else min(revision, page.at)
            if not page.has_more:
                return catalog.Snapshot(revision, changes)
            if not items:
                # What follows is unknown; taken as the end, it would remove
                # the replicas on the pages that were not read.
                raise clients.PlatformError(
                    "a page without a readable item", answering=True
                )
            after = items[-1].key

    async def watch(self, after: int, wait_ms: float) -> catalog.Snapshot:
        """Waits for changes after revision `after`.

        Returns:
          The changes and the revision to go on from; no changes after
          `wait_ms`.

        Raises:
          HistoryGoneError: if the store has dropped that history.
          PlatformError: if the store does not answer usefully.
        """
        query = urllib.parse.urlencode(
            {"path_prefix": "", "after": after, "wait_ms": int(wait_ms)}
        )
        body = await self._get(
            f"/v1/kv-watch?{query}", wait_ms + WATCH_MARGIN_MS
        )
        answer = _decoded(self._events.decode, body)
        items = self._items.read(answer.events)
        return catalog.Snapshot(
            max(after, answer.at), self._items.changes(items)
        )

    async def _read_page(
        self, prefix: str, after: str, *, stale: bool
    ) -> _Range:
        fields = {"path_prefix": prefix, "after": after}
        if stale:
            fields["allow_stale"] = "1"
        query = urllib.parse.urlencode(fields)
        body = await self._get(f"/v1/kv-range?{query}", READ_TIMEOUT_MS)
        return _decoded(self._ranges.decode, body)

    async def _get(self, path: str, timeout_ms: float) -> bytes:
        try:
            return await self._calls.make(
                "GET", self._url + path, timeout_ms, arrival=ARRIVAL
            )
        except calls.StatusError as error:
            if error.status == _GONE:
                raise HistoryGoneError(
                    "history is gone", answering=True
                ) from error
            raise


def _decoded(decode: Callable[[bytes], Value], body: bytes) -> Value:
    try:
        return decode(body)
    except msgspec.DecodeError as error:
        raise clients.UselessAnswerError(
            f"malformed answer: {error}", answering=True
        ) from error


class _ItemDecoder:
    """Decodes items one by one; what can't be used is told, not raised."""

    def __init__(
        self, regions: Mapping[str, str], totals: counters.Counters
    ) -> None:
        self._regions = regions
        self._totals = totals
        self._decoder = msgspec.json.Decoder(_Item)
        self._refused: dict[str, int] = {}

    def read(self, raw_items: list[msgspec.Raw]) -> list[_Item]:
        """Returns the items that can be decoded as items of the store."""
        items = []
        for raw in raw_items:
            try:
                items.append(self._decoder.decode(raw))
            except (ValueError, RecursionError) as error:
                self._refuse("", 0, "item", str(error))
        return items

    def changes(self, items: list[_Item]) -> list[catalog.Change]:
        """Returns what items mean here.

        A replica's entry that can't be used names no replica, also if an
        earlier one did: whoever wrote it, the earlier one holds no longer.
        """
        changes: list[catalog.Change] = []
        for item in items:
            try:
                change = self._decode(item)
            except documents.DocumentError as error:
                self._refuse(
                    item.key, item.revision, error.fault.value, str(error)
                )
                change = _without_replica(item)
            if change is not None:
                changes.append(change)
        return changes

    def _decode(self, item: _Item) -> catalog.Change | None:
        """Returns the change that an item means, None if it means none."""
        if item.key == documents.CONFIG_KEY:
            if item.deleted:
                return None
            config = documents.decode_config(
                item.data, set(self._regions.values())
            )
            return catalog.ConfigChange(item.revision, config)
        if item.key.startswith(documents.WEIGHTS_PREFIX):
            if item.deleted:
                return None
            return catalog.TargetChange(
                item.revision, documents.decode_target(item.data)
            )
        if item.key.startswith(documents.REPLICAS_PREFIX):
            return _decode_replica(item)
        if item.key.startswith(documents.EVACUATIONS_PREFIX):
            return catalog.EvacuationChange(
                item.revision,
                documents.decode_evacuated(item.key, self._regions),
                active=not item.deleted,
            )
        return None

    def _refuse(self, key: str, revision: int, fault: str, detail: str) -> None:
        if self._refused.get(key) == revision:
            return
        if len(self._refused) >= REFUSED_KEYS_MAX:
            self._refused.clear()
        self._refused[key] = revision
        self._totals.add(counters.CounterName.DOCUMENTS_REFUSED, fault)
        logs.log(
            "document_refused",
            key=key,
            revision=revision,
            fault=fault,
            detail=detail,
        )


def _without_replica(item: _Item) -> catalog.Change | None:
    """Returns the change that a refused item stands for, None if none."""
    if not item.key.startswith(documents.REPLICAS_PREFIX):
        return None
    replica_id = item.key.removeprefix(documents.REPLICAS_PREFIX)
    return catalog.ReplicaChange(
        item.revision, replica_id, None, unreadable=True
    )


def _decode_replica(item: _Item) -> catalog.Change:
    replica_id = item.key.removeprefix(documents.REPLICAS_PREFIX)
    replica: fleet.Replica | None = None
    if not item.deleted:
        replica = documents.decode_replica(replica_id, item.data)
    return catalog.ReplicaChange(item.revision, replica_id, replica)
