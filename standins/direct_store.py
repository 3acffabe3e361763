"""Stand-in of the platform's key-value store on the direct path."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json

from standins import direct_documents
from standins import raw_http


class Store:
    """A store of items with revisions that can be watched.

    Attributes:
      revision: revision of the latest change.
      down: whether every request fails with 503.
    """

    def __init__(self) -> None:
        """Initializes an empty store."""
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self.revision = 1
        self.down = False

    def put(self, key: str, value: object) -> None:
        """Writes an item as a new revision."""
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        event = {"key": key, "revision": self.revision, "data": data}
        self._items[key] = event
        self._record(event)

    def delete(self, key: str) -> None:
        """Removes an item as a new revision."""
        self.revision += 1
        self._items.pop(key, None)
        self._record({"key": key, "revision": self.revision, "deleted": True})

    def data(self, key: str) -> bytes:
        """Returns the data of an item.

        Raises:
          KeyError: if the item does not exist.
        """
        return base64.b64decode(str(self._items[key]["data"]))

    def evacuate(self, data_centre: str) -> None:
        """Starts the evacuation of a data centre."""
        self.put(direct_documents.evacuation_key(data_centre), {})

    def end_evacuation(self, data_centre: str) -> None:
        """Ends the evacuation of a data centre."""
        self.delete(direct_documents.evacuation_key(data_centre))

    async def serve(self, peer: raw_http.Peer) -> None:
        """Serves range reads and watches."""
        while (request := await peer.read()) is not None:
            path, query = request.path, request.query
            if self.down:
                await peer.answer(request, 503)
            elif path == "/v1/kv-range":
                await peer.answer_json(
                    request,
                    {
                        "entries": list(self._items.values()),
                        "has_more": False,
                        "at": self.revision,
                    },
                )
            else:
                await self._watch(peer, request, query)

    async def _watch(
        self,
        peer: raw_http.Peer,
        request: raw_http.SeenRequest,
        query: dict[str, str],
    ) -> None:
        after = int(query["after"])
        wait_s = int(query["wait_ms"]) / 1_000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.revision <= after:
                    self._changed.clear()
                    await self._changed.wait()
        events = [e for e in self._events if int(str(e["revision"])) > after]
        await peer.answer_json(request, {"events": events, "at": self.revision})

    def _record(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
