"""The metrics of a process over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing


def route(metrics: Callable[[], bytes]) -> routing.Route:
    """Returns the route that gives the metrics as text."""

    async def show(_: requests.Request) -> responses.Response:
        return responses.Response(metrics(), media_type="text/plain")

    return routing.Route("/metrics", show)


def build(metrics: Callable[[], bytes]) -> applications.Starlette:
    """Returns an application that gives nothing but the metrics."""
    return applications.Starlette(routes=[route(metrics)])
