"""Stand-in for model engines and plain services, many in one process.

Each engine is served under /e/NAME. It streams OpenAI-style completions, up to
`capacity` at once, executes any number of plain calls at once, accepts orders
with a fencing number, and reports its request history. Faults per engine:
`fail_fast` (responds to each completion and plain call with status 500),
`slow_factor` (factor on all times of completions and plain calls),
`stall_after` (tokens), `cut_after` (tokens), `retry_after` (rejects each
completion with this Retry-After, in seconds).
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import hashlib
import json
from typing import Any

import blake3
from starlette import requests
from starlette import responses
from starlette import routing

from marlramp.entry import requests as requests_module
from standins import serving

DEFAULT_TOKENS = 16


class Engine:
    """State of one engine or plain service.

    Attributes:
      capacity: maximum number of completions that run at once.
      loaded: BLAKE3 digest of the weights of each loaded version.
      ran: number of accepted requests by request id, counted
        before they wait for a slot.
      prefixes: digests of prompt prefixes, in the order of their first
        completion.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        """Initializes an engine from the JSON options of its creation."""
        self.capacity = int(options.get("capacity", 8))
        self.token_ms = float(options.get("token_ms", 10))
        self.first_token_ms = float(options.get("first_token_ms", 20))
        self.load_ms = float(options.get("load_ms", 100))
        self.two_versions = bool(options.get("two_versions", False))
        self.checks_fencing = bool(options.get("checks_fencing", True))
        self.serving = str(options.get("serving", ""))
        self.loaded: dict[str, str] = dict(options.get("loaded", {}))
        self.fencing = 0
        self.loading = False
        self.staged: dict[str, dict[int, bytes]] = {}
        self.running = 0
        self.slots = asyncio.Semaphore(self.capacity)
        self.waiting = 0
        self.ran: dict[str, int] = {}
        self.refused = 0
        self.orders: list[dict[str, Any]] = []
        self.prefixes: dict[str, None] = {}
        self.faults: dict[str, Any] = {}

    def state(self) -> dict[str, Any]:
        """Returns the state that the engine reports."""
        return {
            "serving": self.serving,
            "loaded": self.loaded,
            "fencing": self.fencing if self.checks_fencing else 0,
            "loading": self.loading,
        }

    def takes_order(self, order: dict[str, Any]) -> bool:
        """Records an order; returns whether its fencing number is accepted."""
        self.orders.append(order)
        if self.checks_fencing and order["fencing"] <= self.fencing:
            return False
        self.fencing = max(self.fencing, order["fencing"])
        return True

    async def load(self, version: str) -> None:
        """Loads staged chunks.

        An engine that holds a single version unloads the current one first and
        serves the new one once loaded.
        """
        self.loading = True
        if not self.two_versions:
            self.loaded.clear()
            self.serving = ""
        await asyncio.sleep(self.load_ms / 1000)
        chunks = self.staged.pop(version, {})
        hasher = blake3.blake3()
        for index in sorted(chunks):
            hasher.update(chunks[index])
        self.loaded[version] = hasher.hexdigest()
        if not self.two_versions:
            self.serving = version
        self.loading = False

    async def generate(
        self, body: dict[str, Any], request_id: str, resume_from: int
    ) -> AsyncIterator[bytes]:
        """Yields the server-sent events of a completion."""
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        count = int(body.get("max_tokens", DEFAULT_TOKENS))
        prompt = str(body.get("prompt", ""))
        seed = hashlib.sha256(prompt.encode()).hexdigest()[:8]
        slow = float(self.faults.get("slow_factor", 1.0))
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                await asyncio.sleep(self.first_token_ms * slow / 1000)
                for index in range(resume_from, count):
                    if index == self.faults.get("stall_after"):
                        await asyncio.sleep(3600)
                    if index == self.faults.get("cut_after"):
                        raise ConnectionAbortedError("fault")
                    yield self._event(request_id, f"{seed}-{index} ")
                    await asyncio.sleep(self.token_ms * slow / 1000)
                yield self._event(request_id, "", finish="stop")
                yield b"data: [DONE]\n\n"
            finally:
                self.running -= 1
        self.prefixes[requests_module.prefix_digest(prompt)] = None

    def _event(
        self, request_id: str, text: str, finish: str | None = None
    ) -> bytes:
        event = {
            "id": request_id,
            "object": "text_completion",
            "system_fingerprint": self.serving,
            "choices": [{"index": 0, "text": text, "finish_reason": finish}],
        }
        return b"data: " + json.dumps(event).encode() + b"\n\n"


class Engines:
    """All engines of this process."""

    def __init__(self) -> None:
        """Initializes an empty set of engines."""
        self.engines: dict[str, Engine] = {}

    def engine(self, request: requests.Request) -> Engine:
        """Returns the engine named in the path."""
        return self.engines[request.path_params["name"]]

    async def create(self, request: requests.Request) -> responses.Response:
        """Creates or replaces an engine."""
        options = await request.json()
        self.engines[request.path_params["name"]] = Engine(options)
        return responses.JSONResponse({})

    async def put_faults(self, request: requests.Request) -> responses.Response:
        """Replaces the injected faults of an engine."""
        self.engine(request).faults = await request.json()
        return responses.JSONResponse({})

    async def state(self, request: requests.Request) -> responses.Response:
        """Reports an engine's loaded and served versions."""
        return responses.JSONResponse(self.engine(request).state())

    async def history(self, request: requests.Request) -> responses.Response:
        """Reports accepted requests, orders and rejected completions."""
        engine = self.engine(request)
        return responses.JSONResponse(
            {
                "ran": engine.ran,
                "orders": engine.orders,
                "refused": engine.refused,
            }
        )

    async def load_report(
        self, request: requests.Request
    ) -> responses.Response:
        """Reports an engine's load and the prompt prefixes first seen last.

        It reports up to 16 digests of prefixes.
        """
        engine = self.engine(request)
        return responses.JSONResponse(
            {
                "running": engine.running,
                "waiting": engine.waiting,
                "prefixes": list(engine.prefixes)[-16:],
            }
        )

    async def stage(self, request: requests.Request) -> responses.Response:
        """Stages one chunk of weights."""
        version = request.path_params["version"]
        staged = self.engine(request).staged.setdefault(version, {})
        staged[int(request.path_params["index"])] = await request.body()
        return responses.JSONResponse({})

    async def order_load(self, request: requests.Request) -> responses.Response:
        """Handles an order to load a version."""
        engine = self.engine(request)
        order = await request.json()
        if not engine.takes_order(order):
            return responses.JSONResponse({"fencing": engine.fencing}, 409)
        await engine.load(order["version"])
        return responses.JSONResponse(engine.state())

    async def order_serve(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles an order to serve a loaded version."""
        engine = self.engine(request)
        order = await request.json()
        if not engine.takes_order(order):
            return responses.JSONResponse({"fencing": engine.fencing}, 409)
        if order["version"] not in engine.loaded:
            return responses.JSONResponse({}, 404)
        engine.serving = order["version"]
        return responses.JSONResponse(engine.state())

    async def complete(self, request: requests.Request) -> responses.Response:
        """Streams a completion."""
        engine = self.engine(request)
        if engine.faults.get("fail_fast"):
            return responses.JSONResponse({"error": "fault"}, 500)
        if retry_after_s := engine.faults.get("retry_after"):
            engine.refused += 1
            return responses.JSONResponse(
                {"error": "busy"}, 503, {"retry-after": str(retry_after_s)}
            )
        events = engine.generate(
            await request.json(),
            request.headers.get("x-request-id", ""),
            int(request.headers.get("x-resume-from", "0")),
        )
        return responses.StreamingResponse(
            events, media_type="text/event-stream"
        )

    async def plain(self, request: requests.Request) -> responses.Response:
        """Executes a plain call.

        The response has the number of executions of its request id.
        """
        engine = self.engine(request)
        if engine.faults.get("fail_fast"):
            return responses.JSONResponse({"error": "fault"}, 500)
        request_id = request.headers.get("x-request-id", "")
        engine.ran[request_id] = engine.ran.get(request_id, 0) + 1
        body = await request.body()
        slow = float(engine.faults.get("slow_factor", 1.0))
        await asyncio.sleep(engine.first_token_ms * slow / 1000)
        return responses.JSONResponse(
            {
                "path": request.path_params["path"],
                "body": body.decode(),
                "runs": engine.ran[request_id],
            }
        )


def main() -> None:
    """Runs the stand-in."""
    arguments = serving.parser(__doc__).parse_args()
    state = Engines()
    prefix = "/e/{name}"
    serving.serve(
        [
            routing.Route(prefix, state.create, methods=["PUT"]),
            routing.Route(
                prefix + "/faults", state.put_faults, methods=["PUT"]
            ),
            routing.Route(prefix + "/history", state.history),
            routing.Route(prefix + "/admin/state", state.state),
            routing.Route(prefix + "/admin/load-report", state.load_report),
            routing.Route(
                prefix + "/admin/weights/{version}/{index}",
                state.stage,
                methods=["PUT"],
            ),
            routing.Route(
                prefix + "/admin/load", state.order_load, methods=["POST"]
            ),
            routing.Route(
                prefix + "/admin/serve", state.order_serve, methods=["POST"]
            ),
            routing.Route(
                prefix + "/v1/completions", state.complete, methods=["POST"]
            ),
            routing.Route(
                prefix + "/{path:path}",
                state.plain,
                methods=["GET", "POST", "PUT", "DELETE"],
            ),
        ],
        arguments.port,
    )


if __name__ == "__main__":
    main()
