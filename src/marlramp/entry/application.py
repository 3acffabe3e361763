"""Builds the ASGI application of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette import routing

if TYPE_CHECKING:
    from marlramp.entry import admin_app
    from marlramp.entry import caller_app
    from marlramp.entry import metrics


def build(
    callers: caller_app.CallerApp,
    admin: admin_app.AdminApp,
    exporter: metrics.MetricsExporter,
) -> routing.Router:
    """Returns a router for the callers', administration and metrics routes.

    It is a bare router, because every part of a stream would pass through the
    middleware layers of a complete starlette application; see
    docs/design/relay.md.
    """
    routes = [*callers.routes(), *admin.routes(), *exporter.routes()]
    return routing.Router(routes)
