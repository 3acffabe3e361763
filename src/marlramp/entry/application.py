"""The ASGI application of an entry."""

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
    """Returns the application with all routes.

    A bare router: the layers of a whole starlette application would cost
    every part of a stream, see docs/design/relay.md.
    """
    routes = [*callers.routes(), *admin.routes(), *exporter.routes()]
    return routing.Router(routes)
