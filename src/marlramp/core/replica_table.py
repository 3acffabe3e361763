"""The replicas of each service, kept in step with the list and the reports."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core import availability
from marlramp.core import breaker
from marlramp.core import catalog
from marlramp.core import fleet
from marlramp.core import replica_view
from marlramp.core import wait_bias
from marlramp.core import way_times

GONE_MAX = 4_096
"""Replicas remembered after they left the list, the latest ones."""


class _Gone(msgspec.Struct, frozen=True):
    """A replica that left the list though it may come back to it.

    Attributes:
      born_ms: Unix time of its start, None where it is not known.
      availability: what that start said of itself.
    """

    born_ms: int | None
    availability: availability.Availability


class ReplicaTable:
    """Replicas by service, kept in step with the catalog."""

    def __init__(self) -> None:
        """Starts empty."""
        self._views: dict[str, replica_view.ReplicaView] = {}
        self._by_service: dict[
            ids.ServiceId, list[replica_view.ReplicaView]
        ] = {}
        self._reports: dict[str, tuple[replica_view.LoadReport, float]] = {}
        self._behind_bias: dict[ids.ServiceId, wait_bias.WaitBias] = {}
        self._front_bias: dict[ids.ServiceId, wait_bias.WaitBias] = {}
        self._centre_ways: dict[ids.DataCentreId, way_times.WayTimes] = {}
        self._gone: dict[str, _Gone] = {}
        self._listeners: list[Callable[[str], None]] = []

    def __iter__(self) -> Iterator[replica_view.ReplicaView]:
        """Iterates over all replicas."""
        return iter(list(self._views.values()))

    def listen(self, listener: Callable[[str], None]) -> None:
        """Tells the id of a replica when the own requests there changed."""
        self._listeners.append(listener)

    def get(self, replica_id: str) -> replica_view.ReplicaView | None:
        """Returns one replica."""
        return self._views.get(replica_id)

    def at(self, address: str) -> list[replica_view.ReplicaView]:
        """Returns the replicas listed at an address."""
        return [v for v in self._views.values() if v.replica.address == address]

    def of(self, service_id: ids.ServiceId) -> list[replica_view.ReplicaView]:
        """Returns the replicas of a service, leaving ones too."""
        return self._by_service.get(service_id, [])

    def sync(self, known: catalog.Catalog, now_ms: clock.Millis) -> list[str]:
        """Takes over the catalog's replicas.

        Returns:
          Ids of replicas that are no longer there, or started again: nothing
          that was known of them holds.
        """
        listed = {r.replica_id: r for r in known.replicas()}
        gone = [key for key in self._views if key not in listed]
        for replica_id in gone:
            self._note_gone(replica_id)
        for replica_id, replica in listed.items():
            view = self._views.get(replica_id)
            if view is not None and replica_view.is_newer_start(
                replica.born_ms, view.born_ms
            ):
                gone.append(replica_id)
                view = None
            if view is None:
                view = self._new_view(replica)
                self._adopt_availability(view)
                self._adopt_report(view, now_ms)
            view.replica = replica
            view.born_ms = view.born_ms or replica.born_ms
        self._group()
        return gone

    def report(
        self, report: replica_view.LoadReport, now_ms: clock.Millis
    ) -> list[str]:
        """Takes an agent's report of the engine at an address.

        Returns:
          Ids of replicas that the report shows to have started again.
        """
        held = self._reports.get(report.address)
        if held is not None and replica_view.is_newer_start(
            held[0].born_ms, report.born_ms
        ):
            return []
        self._reports[report.address] = (report, now_ms)
        restarted = []
        for replica_id, view in list(self._views.items()):
            if view.replica.address != report.address:
                continue
            if replica_view.is_newer_start(view.born_ms, report.born_ms):
                continue
            if replica_view.is_newer_start(report.born_ms, view.born_ms):
                restarted.append(replica_id)
                view = self._new_view(view.replica)
            self._take(view, report, now_ms)
        if restarted:
            self._group()
        return restarted

    def _new_view(self, replica: fleet.Replica) -> replica_view.ReplicaView:
        """Starts to know a replica, also in the place of an earlier start.

        Requests under way at the earlier start keep the view they were sent
        with, so that their ends change nothing here.
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
            on_load_change=self._note_load_change,
            born_ms=replica.born_ms,
            centre_ways=self._centre_ways.setdefault(
                replica.data_centre, way_times.WayTimes()
            ),
        )
        self._views[replica.replica_id] = view
        return view

    def _note_gone(self, replica_id: str) -> None:
        """Drops a replica, but for what its start said of itself.

        A list that was short for a moment must not open one that leaves.
        """
        view = self._views.pop(replica_id)
        self._gone.pop(replica_id, None)
        self._gone[replica_id] = _Gone(view.born_ms, view.availability)
        if len(self._gone) > GONE_MAX:
            del self._gone[next(iter(self._gone))]

    def _adopt_availability(self, view: replica_view.ReplicaView) -> None:
        """Takes over what the same start said before it left the list."""
        held = self._gone.pop(view.replica.replica_id, None)
        if held is None or view.born_ms is None:
            return
        if not replica_view.is_newer_start(view.born_ms, held.born_ms):
            view.availability = held.availability

    def _note_load_change(self, replica_id: str) -> None:
        for listener in self._listeners:
            listener(replica_id)

    def _group(self) -> None:
        self._by_service = {}
        for view in self._views.values():
            service_id = view.replica.service_id
            self._by_service.setdefault(service_id, []).append(view)

    def _adopt_report(
        self, view: replica_view.ReplicaView, now_ms: clock.Millis
    ) -> None:
        held = self._reports.get(view.replica.address)
        if held is None or now_ms - held[1] >= replica_view.REPORT_FRESH_MS:
            return
        if not replica_view.is_newer_start(view.born_ms, held[0].born_ms):
            self._take(view, held[0], now_ms)

    def _take(
        self,
        view: replica_view.ReplicaView,
        report: replica_view.LoadReport,
        now_ms: clock.Millis,
    ) -> None:
        view.born_ms = report.born_ms or view.born_ms
        view.report = report
        view.reported_ms = now_ms
        view.note_load(report.running, report.waiting, now_ms)
