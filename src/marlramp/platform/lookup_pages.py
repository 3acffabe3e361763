"""HTTP calls beside the requests: addresses, readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from marlramp.direct import metrics_app


def build(
    addresses: Callable[[], list[str]],
    ttl_s: float,
    ready: Callable[[], bool],
    metrics: Callable[[], bytes],
) -> applications.Starlette:
    """Returns the application.

    Args:
      addresses: gives the entries that callers may use.
      ttl_s: how long callers keep them.
      ready: tells whether this entry takes callers.
      metrics: gives the metrics as text.
    """

    async def lookup(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {"addresses": addresses(), "ttl_s": ttl_s}
        )

    async def readyz(_: requests.Request) -> responses.Response:
        return responses.Response(status_code=200 if ready() else 503)

    return applications.Starlette(
        routes=[
            routing.Route("/v1/lookup", lookup),
            routing.Route("/v1/readyz", readyz),
            metrics_app.route(metrics),
        ]
    )
