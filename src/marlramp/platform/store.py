"""Read-only client of the platform's key-value store."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import TypeVar
import urllib.parse

import msgspec

from marlramp import counters
from marlramp import decoding
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
"""250 times the usual response time. A store that has not begun to answer by
then counts as down."""

WATCH_MARGIN_MS = 600.0
"""A watch that has not begun to answer this long after its wait counts as
lost."""

SILENCE_MAX_MS = 1_500.0
"""Longest silence within an answer. A sound store may send nothing for a second
or so and go on."""

ARRIVAL = http1_call.Arrival(
    silence_ms=SILENCE_MAX_MS, least_per_s=65_536.0, longest_ms=30_000.0
)
"""An answer that has begun may take longer than the time-out while data keeps
arriving: 1 MB of items, a page of the store, may take 22 s as base64 text."""

ANSWER_BYTES_MAX = 8_388_608
"""Largest answer: a page of 1 MB of items, whose last item may be as large, as
base64 text with their keys takes less than half of it."""

REFUSED_KEYS_MAX = 1_000
"""Number of refused items that are remembered, so that each is logged and
counted once and not at each read of the store."""

_STATUS_GONE = 410


class HistoryGoneError(clients.PlatformError):
    """The store no longer has the changes after the revision asked for."""


class _Item(msgspec.Struct):
    key: str
    # Revision of the item's last change.
    revision: int
    data: bytes = b""
    deleted: bool = False


class _RangeAnswer(msgspec.Struct):
    # Decoded separately, so that a malformed item does not affect the others.
    entries: list[msgspec.Raw]
    # Revision of the store at the time of the answer.
    at: int
    has_more: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[msgspec.Raw]
    at: int


class StoreClient:
    """Reads configuration, target versions of weights and replicas."""

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
        self._range_decoder = msgspec.json.Decoder(_RangeAnswer)
        self._events = msgspec.json.Decoder(_WatchAnswer)

    async def read_all(self, *, stale: bool = False) -> catalog.Snapshot:
        """Returns everything that the store holds for the system.

        Args:
          stale: whether the answer may be seconds old. Such a read costs a
            tenth of a current one, and does not count towards the rate limit
            that all processes share.

        Raises:
          PlatformError: if the store gives no usable answer.
        """
        return await self._read("", stale=stale)

    async def check(self) -> None:
        """Returns if the store answers a read that is small and current.

        Raises:
          PlatformError: if the store gives no usable answer.
        """
        await self._read_page(documents.WEIGHTS_PREFIX, "", stale=False)

    async def read_targets(self) -> catalog.Snapshot:
        """Returns the target versions of weights, possibly seconds old.

        They are a hundredth of the data that `read_all` returns.
        """
        return await self._read(documents.WEIGHTS_PREFIX, stale=True)

    async def _read(self, prefix: str, *, stale: bool) -> catalog.Snapshot:
        changes: list[catalog.Change] = []
        # The result has the lowest revision of all pages, so that a watch from
        # there also returns what changed between the reads of two pages.
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
                # The position of the next page is unknown. Ending here would
                # remove the replicas on the pages that were not read.
                raise clients.PlatformError(
                    "the store sent a page without a readable item",
                    answering=True,
                )
            after = items[-1].key

    async def watch(self, after: int, wait_ms: float) -> catalog.Snapshot:
        """Waits for changes after revision `after`.

        Returns:
          The changes and the revision after which the next watch starts; no
          changes if there was none within `wait_ms`.

        Raises:
          HistoryGoneError: if the store no longer has these changes.
          PlatformError: if the store gives no usable answer.
        """
        query = urllib.parse.urlencode(
            {"path_prefix": "", "after": after, "wait_ms": int(wait_ms)}
        )
        body = await self._get(
            f"/v1/kv-watch?{query}", wait_ms + WATCH_MARGIN_MS
        )
        answer = _decode_answer(self._events.decode, body)
        items = self._items.read(answer.events)
        return catalog.Snapshot(
            max(after, answer.at), self._items.changes(items)
        )

    async def _read_page(
        self, prefix: str, after: str, *, stale: bool
    ) -> _RangeAnswer:
        fields = {"path_prefix": prefix, "after": after}
        if stale:
            fields["allow_stale"] = "1"
        query = urllib.parse.urlencode(fields)
        body = await self._get(f"/v1/kv-range?{query}", READ_TIMEOUT_MS)
        return _decode_answer(self._range_decoder.decode, body)

    async def _get(self, path: str, timeout_ms: float) -> bytes:
        try:
            return await self._calls.make(
                "GET",
                self._url + path,
                timeout_ms,
                arrival=ARRIVAL,
                answer_bytes_max=ANSWER_BYTES_MAX,
            )
        except calls.StatusError as error:
            if error.status == _STATUS_GONE:
                raise HistoryGoneError(
                    "the store no longer has these changes", answering=True
                ) from error
            raise


def _decode_answer(decode: Callable[[bytes], Value], body: bytes) -> Value:
    try:
        return decode(body)
    except decoding.MALFORMED as error:
        raise clients.UselessAnswerError(
            f"malformed answer: {error}", answering=True
        ) from error


class _ItemDecoder:
    """Decodes items separately; logs and counts those that can't be used."""

    def __init__(
        self, regions: Mapping[str, str], totals: counters.Counters
    ) -> None:
        self._regions = regions
        self._totals = totals
        self._decoder = msgspec.json.Decoder(_Item)
        self._refused: dict[str, int] = {}

    def read(self, raw_items: list[msgspec.Raw]) -> list[_Item]:
        """Returns the items that are well-formed."""
        items = []
        for raw in raw_items:
            try:
                items.append(self._decoder.decode(raw))
            except decoding.MALFORMED as error:
                self._report_refusal("", 0, "item", str(error))
        return items

    def changes(self, items: list[_Item]) -> list[catalog.Change]:
        """Returns the catalog changes that items describe.

        A replica's record that can't be used removes the replica: whoever wrote
        the record, the earlier one is no longer valid.
        """
        changes: list[catalog.Change] = []
        for item in items:
            try:
                change = self._decode(item)
            except documents.DocumentError as error:
                self._report_refusal(
                    item.key, item.revision, error.fault.value, str(error)
                )
                change = _change_of_refused(item)
            if change is not None:
                changes.append(change)
        return changes

    def _decode(self, item: _Item) -> catalog.Change | None:
        """Returns the change that an item describes, None if there is none."""
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

    def _report_refusal(
        self, key: str, revision: int, fault: str, detail: str
    ) -> None:
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


def _change_of_refused(item: _Item) -> catalog.Change | None:
    """Returns the change for a refused item, None if it is not a replica's."""
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
