"""Stores the replicas of each service.

The table is updated from the catalog's list of replicas and from the reports of
the agents beside engines.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.replicas import availability
from marlramp.core.replicas import breaker
from marlramp.core.replicas import cold_replica
from marlramp.core.replicas import path_latency
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import wait_bias

REPORTS_MAX = 16_384
"""Most engines whose last report is kept, also of replicas that are not listed
yet; the oldest report is dropped first."""

REMOVED_MAX = 4_096
"""Number of replicas that are remembered after they left the list; the oldest
are dropped."""


class _RemovedReplica(msgspec.Struct, frozen=True):
    """A replica that left the list and may return to it.

    Attributes:
      born_ms: Unix time of the replica's start, None if unknown.
      availability: pauses, backoff and drain of that start.
      cold: its cold state, with the requests sent to it.
    """

    born_ms: int | None
    availability: availability.Availability
    cold: cold_replica.ColdReplica | None


class ReplicaTable:
    """Replicas by id and by service."""

    def __init__(
        self,
        cold_shares: cold_replica.Shares | None = None,
        heartbeat_ms: float = 0.0,
    ) -> None:
        """Creates an empty table.

        Args:
          cold_shares: the share of this entry in the requests to cold replicas,
            None if cold replicas are not limited.
          heartbeat_ms: interval at which replicas update their records.
        """
        self._cold_shares = cold_shares
        self._heartbeat_ms = heartbeat_ms
        self._views: dict[str, replica_view.ReplicaView] = {}
        self._by_service: dict[
            ids.ServiceId, list[replica_view.ReplicaView]
        ] = {}
        self._reports: dict[str, tuple[replica_view.LoadReport, float]] = {}
        self._behind_bias: dict[ids.ServiceId, wait_bias.WaitBias] = {}
        self._front_bias: dict[ids.ServiceId, wait_bias.WaitBias] = {}
        self._centre_latency: dict[
            ids.DataCentreId, path_latency.PathLatency
        ] = {}
        self._removed: dict[str, _RemovedReplica] = {}
        self._listeners: list[Callable[[str], None]] = []

    def __iter__(self) -> Iterator[replica_view.ReplicaView]:
        """Iterates over all replicas."""
        return iter(list(self._views.values()))

    def add_listener(self, listener: Callable[[str], None]) -> None:
        """Adds a listener for changes of this entry's load at a replica.

        Args:
          listener: called with the id of the replica.
        """
        self._listeners.append(listener)

    def get(self, replica_id: str) -> replica_view.ReplicaView | None:
        """Returns the replica with an id, or None."""
        return self._views.get(replica_id)

    def at(self, address: str) -> list[replica_view.ReplicaView]:
        """Returns the replicas listed at an address."""
        return [v for v in self._views.values() if v.replica.address == address]

    def of(self, service_id: ids.ServiceId) -> list[replica_view.ReplicaView]:
        """Returns the replicas of a service, including leaving ones."""
        return self._by_service.get(service_id, [])

    def sync(self, known: catalog.Catalog, now_ms: clock.Millis) -> list[str]:
        """Updates the table from the catalog's list of replicas.

        Returns:
          Ids of replicas that left the list or restarted, so that state kept
          for them is no longer valid.
        """
        listed = {r.replica_id: r for r in known.replicas()}
        services = {} if known.config is None else known.config.by_id
        removed = [key for key in self._views if key not in listed]
        for replica_id in removed:
            self._remove(replica_id)
        for replica_id, replica in listed.items():
            view = self._views.get(replica_id)
            is_new_record = (
                view is None or view.cold is None or replica is not view.replica
            )
            if view is not None and replica_view.is_newer_start(
                replica.born_ms, view.born_ms
            ):
                removed.append(replica_id)
                self._remove(replica_id)
                view = None
            if view is None:
                view = self._new_view(replica)
                self._restore(view, now_ms)
                self._apply_held_report(view, now_ms)
            view.replica = replica
            view.born_ms = view.born_ms or replica.born_ms
            self._apply_cold_start(view, services.get(replica.service_id))
            if view.cold is not None and is_new_record:
                view.cold.record_listed(replica.cold_left_ms, now_ms)
        self._group_by_service()
        return removed

    def handle_report(
        self, report: replica_view.LoadReport, now_ms: clock.Millis
    ) -> list[str]:
        """Applies an agent's report on the engine at an address.

        A report of an earlier start than the last known one is ignored, and one
        of the same start that was made before the last known one.

        Args:
          report: the report.
          now_ms: when the report was made, as far as is known.

        Returns:
          Ids of replicas that have restarted according to the report.
        """
        held = self._reports.get(report.address)
        if held is not None and _is_outdated(report, now_ms, *held):
            return []
        self._reports.pop(report.address, None)
        self._reports[report.address] = (report, now_ms)
        if len(self._reports) > REPORTS_MAX:
            del self._reports[next(iter(self._reports))]
        restarted = []
        for replica_id, view in list(self._views.items()):
            if view.replica.address != report.address:
                continue
            if replica_view.is_newer_start(view.born_ms, report.born_ms):
                continue
            if replica_view.is_newer_start(report.born_ms, view.born_ms):
                restarted.append(replica_id)
                cold = view.cold
                view = self._new_view(view.replica)
                # The share of the entry counts over both starts, and requests
                # that were assigned to the earlier view observe it too.
                view.cold = cold
                view.suspect_cold(now_ms)
            view.record_report(report, now_ms, is_held=False)
        if restarted:
            self._group_by_service()
        return restarted

    def _apply_cold_start(
        self, view: replica_view.ReplicaView, service: fleet.Service | None
    ) -> None:
        """Applies what the configuration says of cold replicas."""
        if (
            self._cold_shares is None
            or service is None
            or not service.has_cold_starts
        ):
            view.cold = None
        elif view.cold is None:
            view.cold = cold_replica.ColdReplica(
                view.replica.replica_id,
                service.cold_per_s,
                service.cold_start_ms,
                self._heartbeat_ms,
                self._cold_shares,
            )
        else:
            view.cold.tolerated_per_s = service.cold_per_s
            view.cold.start_ms = service.cold_start_ms

    def suspect_cold(
        self, data_centre: ids.DataCentreId, now_ms: clock.Millis
    ) -> None:
        """Records that the replicas of a data centre may be cold."""
        for view in self._views.values():
            if view.replica.data_centre == data_centre:
                view.suspect_cold(now_ms)

    def _new_view(self, replica: fleet.Replica) -> replica_view.ReplicaView:
        """Adds a fresh view of a replica, replacing that of an earlier start.

        Requests in flight at the earlier start keep the view with which they
        were sent, so that their ends do not change the new view.
        """
        view = replica_view.ReplicaView(
            replica,
            breaker.Breaker(
                replica_view.FAILURES_MAX, replica_view.BREAKER_OPEN_MS
            ),
            behind_bias=self._behind_bias.setdefault(
                replica.service_id, wait_bias.WaitBias()
            ),
            front_bias=self._front_bias.setdefault(
                replica.service_id, wait_bias.WaitBias()
            ),
            on_load_change=self._notify_load_change,
            born_ms=replica.born_ms,
            centre_latency=self._centre_latency.setdefault(
                replica.data_centre, path_latency.PathLatency()
            ),
        )
        self._views[replica.replica_id] = view
        return view

    def _remove(self, replica_id: str) -> None:
        """Removes a replica and remembers its availability and cold state.

        A replica that is leaving must stay closed if it is missing from the
        list for a moment and then returns.
        """
        view = self._views.pop(replica_id)
        self._removed.pop(replica_id, None)
        self._removed[replica_id] = _RemovedReplica(
            view.born_ms, view.availability, view.cold
        )
        if len(self._removed) > REMOVED_MAX:
            del self._removed[next(iter(self._removed))]

    def _restore(
        self, view: replica_view.ReplicaView, now_ms: clock.Millis
    ) -> None:
        """Restores the availability of this start, and the cold state.

        The share of the entry counts over all starts of a replica. Requests
        that were assigned to an earlier view are written according to the same
        cold state.
        """
        held = self._removed.pop(view.replica.replica_id, None)
        if held is None:
            return
        view.cold = held.cold
        if replica_view.is_newer_start(view.born_ms, held.born_ms):
            view.suspect_cold(now_ms)
        elif view.born_ms is not None:
            view.availability = held.availability

    def _notify_load_change(self, replica_id: str) -> None:
        for listener in self._listeners:
            listener(replica_id)

    def _group_by_service(self) -> None:
        self._by_service = {}
        for view in self._views.values():
            service_id = view.replica.service_id
            self._by_service.setdefault(service_id, []).append(view)

    def _apply_held_report(
        self, view: replica_view.ReplicaView, now_ms: clock.Millis
    ) -> None:
        held = self._reports.get(view.replica.address)
        if held is None or now_ms - held[1] >= replica_view.WEIGHTS_KNOWN_MS:
            return
        if not replica_view.is_newer_start(view.born_ms, held[0].born_ms):
            view.record_report(held[0], clock.Millis(held[1]), is_held=True)


def _is_outdated(
    report: replica_view.LoadReport,
    reported_ms: float,
    held: replica_view.LoadReport,
    held_ms: float,
) -> bool:
    """Returns whether a report is older than the one that is held."""
    if replica_view.is_newer_start(held.born_ms, report.born_ms):
        return True
    if replica_view.is_newer_start(report.born_ms, held.born_ms):
        return False
    # Digests of other entries may arrive after a newer report of the agent.
    return reported_ms < held_ms
