"""Stand-in for the configuration service and the VM list.

Tests publish with PUT /documents and PUT /vms, and inject faults with PUT
/faults: `down`, `frozen` (reads return a stale snapshot) and `delay_ms`.
"""

from __future__ import annotations

import asyncio
from typing import Any

from starlette import requests
from starlette import responses
from starlette import routing

from standins import serving


class Platform:
    """State of the stand-in."""

    def __init__(self) -> None:
        """Initializes the state with no documents and no VMs."""
        self.revision = 0
        self.documents: dict[str, dict[str, Any]] = {}
        self.frozen_documents: dict[str, dict[str, Any]] | None = None
        self.vms: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {}
        self.calls: dict[str, int] = {"read": 0, "watch": 0, "vms": 0}
        self.changed = asyncio.Event()

    def visible(self, keys: str) -> list[dict[str, Any]]:
        """Returns the documents among the comma-separated `keys`.

        While the `frozen` fault is active, they come from its snapshot.
        """
        documents = self.frozen_documents
        if documents is None:
            documents = self.documents
        return [documents[key] for key in keys.split(",") if key in documents]

    async def publish(self, request: requests.Request) -> responses.Response:
        """Publishes a document under the given or the next revision."""
        body = await request.json()
        self.revision += 1
        revision = body.get("revision", self.revision)
        self.documents[body["key"]] = {
            "key": body["key"],
            "revision": revision,
            "text": body["text"],
        }
        self.changed.set()
        self.changed = asyncio.Event()
        return responses.JSONResponse({"revision": revision})

    async def put_vms(self, request: requests.Request) -> responses.Response:
        """Replaces the VM list."""
        self.vms = await request.json()
        return responses.JSONResponse({})

    async def put_faults(self, request: requests.Request) -> responses.Response:
        """Replaces the injected faults."""
        self.faults = await request.json()
        if not self.faults.get("frozen"):
            self.frozen_documents = None
        elif self.frozen_documents is None:
            self.frozen_documents = dict(self.documents)
        return responses.JSONResponse({})

    async def read(self, request: requests.Request) -> responses.Response:
        """Handles a read of documents."""
        self.calls["read"] += 1
        if await self._fails():
            return responses.Response(status_code=503)
        return responses.JSONResponse(
            self.visible(request.query_params["keys"])
        )

    async def watch(self, request: requests.Request) -> responses.Response:
        """Handles a long poll for documents newer than `after`."""
        self.calls["watch"] += 1
        after = int(request.query_params["after"])
        keys = request.query_params["keys"]
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(request.query_params["wait_ms"]) / 1000
        while True:
            if await self._fails():
                return responses.Response(status_code=503)
            newer = [d for d in self.visible(keys) if d["revision"] > after]
            remaining_s = deadline_s - loop.time()
            if newer or remaining_s <= 0:
                return responses.JSONResponse(newer)
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def read_vms(self, request: requests.Request) -> responses.Response:
        """Handles a read of the VM list."""
        self.calls["vms"] += 1
        if await self._fails():
            return responses.Response(status_code=503)
        return responses.JSONResponse(self.vms)

    async def read_calls(self, request: requests.Request) -> responses.Response:
        """Reports the number of calls by kind."""
        return responses.JSONResponse(self.calls)

    async def _fails(self) -> bool:
        await asyncio.sleep(self.faults.get("delay_ms", 0) / 1000)
        return bool(self.faults.get("down"))


def main() -> None:
    """Runs the stand-in."""
    arguments = serving.parser(__doc__).parse_args()
    state = Platform()
    serving.serve(
        [
            routing.Route("/v1/documents", state.read),
            routing.Route("/v1/watch", state.watch),
            routing.Route("/v1/vms", state.read_vms),
            routing.Route("/documents", state.publish, methods=["PUT"]),
            routing.Route("/vms", state.put_vms, methods=["PUT"]),
            routing.Route("/faults", state.put_faults, methods=["PUT"]),
            routing.Route("/calls", state.read_calls),
        ],
        arguments.port,
    )


if __name__ == "__main__":
    main()
