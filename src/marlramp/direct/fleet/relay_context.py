"""Provides an entry's piece relay with the state of the rest of the entry."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from marlramp import clock
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.membership import members
from marlramp.core.weights import relay_assignment
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.direct.weights import version_digests

PIECE_DEFAULT_MS = 40.0
"""Time in which an origin sends a piece if its rate is not known."""


class RelayContext:
    """Announced versions, entries that relay pieces, and sending to others.

    Implements `piece_relay.EntryState`.
    """

    def __init__(
        self,
        known: catalog.Catalog,
        placed: placement.Placement,
        sync: member_sync.MemberSync,
        time: clock.Clock,
    ) -> None:
        """Stores the sources, which each call reads anew.

        Args:
          known: the catalog.
          placed: the cells.
          sync: the other members.
          time: the clock.
        """
        self._catalog = known
        self._placed = placed
        self._sync = sync
        self._clock = time

    def origin(self) -> str:
        """Returns the origin's address "host:port", "" if it is not known."""
        service = self._origin_service()
        return "" if service is None else service.origin

    def locations(self) -> Mapping[str, relay_assignment.Location]:
        """Returns the locations of the entries that relay pieces, by VM.

        They include this entry. The result is empty while it is leaving.
        """
        if self._sync.roster.own.state is members.MemberState.LEAVING:
            return {}
        return self._placed.relay_locations

    def wanted(self) -> list[version_digests.ModelVersion]:
        """Returns the newest announced version of each model of the engines."""
        config = self._catalog.config
        if config is None:
            return []
        models = {s.engine.model for s in config.services if s.engine}
        return [self._newest(model) for model in sorted(models)]

    def _newest(self, model: str) -> version_digests.ModelVersion:
        target = self._catalog.targets.get(model)
        version = fleet.FIRST_VERSION
        if target is not None:
            version = target.target.version
        return version_digests.ModelVersion(model, version)

    def piece_ms(self) -> float:
        """Returns the milliseconds in which the origin sends a piece."""
        config = self._catalog.config
        service = self._origin_service()
        if config is None or service is None or not service.origin_bytes_per_s:
            return PIECE_DEFAULT_MS
        sizes = [s.engine.piece_bytes for s in config.services if s.engine]
        if not sizes:
            return PIECE_DEFAULT_MS
        rate = service.origin_bytes_per_s
        return max(sizes) / rate * clock.MILLIS_PER_SECOND

    def origin_connections(self) -> int:
        """Returns the total number of connections that the origin accepts."""
        service = self._origin_service()
        return 1 if service is None else service.connections_max

    def age_ms(self, wanted: version_digests.ModelVersion) -> float | None:
        """Returns the least age of a version's announcement in milliseconds.

        Returns:
          None if the age is unknown.
        """
        target = self._catalog.targets.get(wanted.model)
        if target is None:
            return None
        for named in target.named:
            named_by_ms = named.named_by_ms
            if named.version == wanted.version and named_by_ms is not None:
                return self._clock.now_ms() - named_by_ms
        return None

    def send_piece_message(self, name: str, message: msgspec.Struct) -> bool:
        """Sends a message to an entry or agent; opens a link to an entry.

        Returns:
          Whether the message could be sent.
        """
        return self._sync.send(name, message)

    def _origin_service(self) -> fleet.Service | None:
        config = self._catalog.config
        if config is None:
            return None
        return next((s for s in config.services if s.origin), None)
