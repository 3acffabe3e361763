"""Serves a stand-in's ASGI application until SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Sequence

from starlette import applications
from starlette import routing
import uvicorn


def serve(routes: Sequence[routing.BaseRoute], port: int) -> None:
    """Serves `routes` on a loopback port until terminated."""
    app = applications.Starlette(routes=list(routes))
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=port,
        log_level="error",
        access_log=False,
        loop="asyncio",
        lifespan="off",
        timeout_graceful_shutdown=1,
    )
    asyncio.run(uvicorn.Server(config).serve())


def parser(description: str | None) -> argparse.ArgumentParser:
    """Returns an argument parser with the required --port option."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--port", type=int, required=True)
    return result
