"""Administration API of an entry, protected by a key.

It reports this entry's state, changes only its memory, or sends orders to
running processes. It writes nothing to storage.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import hmac
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

import msgspec
from starlette import responses
from starlette import routing

from marlramp import __version__
from marlramp import clock
from marlramp import counters
from marlramp import decoding
from marlramp import errors
from marlramp import ids
from marlramp.entry import admin_documents
from marlramp.entry import answers
from marlramp.entry import requests as caller_requests
from marlramp.settings import schema
from marlramp.settings import store
from marlramp.settings import tree

if TYPE_CHECKING:
    from starlette import requests

    from marlramp.entry import admission
    from marlramp.entry import agent_table
    from marlramp.entry import dispatcher
    from marlramp.platform import clients

_BEARER = "Bearer "
_BODY_BYTES_MAX = 64 * 1024

_Endpoint: TypeAlias = Callable[
    ["requests.Request"], Awaitable[responses.Response]
]


class Fleet(Protocol):
    """Functions of the daemon that the administration API uses."""

    @property
    def leaving(self) -> bool:
        """Whether this entry is shutting down."""
        ...

    def vms(self) -> list[clients.ListedVm]:
        """Returns the platform's VM list as last read."""
        ...

    def drain_vm(self, vm_id: ids.VmId, reason: str) -> bool:
        """Makes a process drain; returns False if it is unreachable."""
        ...


class AdminApp:
    """Endpoints that operators use."""

    def __init__(
        self,
        key: str,
        entry_id: ids.VmId,
        settings: store.SettingsStore,
        table: agent_table.AgentTable,
        call_dispatcher: dispatcher.Dispatcher,
        admission_control: admission.Admission,
        totals: counters.Counters,
        fleet: Fleet,
        time: clock.Clock,
    ) -> None:
        """Creates endpoints for requests that carry `key` as a bearer token."""
        self._key = key.encode()
        self._entry_id = entry_id
        self._settings = settings
        self._table = table
        self._dispatcher = call_dispatcher
        self._admission = admission_control
        self._totals = totals
        self._fleet = fleet
        self._clock = time

    def routes(self) -> list[routing.Route]:
        """Returns the routes of this interface."""
        return [
            self._route("status", self.status),
            self._route("settings", self.settings),
            self._route("rollouts", self.rollouts),
            self._route("vms", self.vms),
            self._route("limits", self.limits),
            self._route("counters", self.counters),
            self._route("drain", self.drain, "POST"),
        ]

    async def status(self, request: requests.Request) -> responses.Response:
        """Returns the state of this entry."""
        agents = list(self._table)
        return _json(
            admin_documents.Status(
                entry=self._entry_id,
                version=__version__,
                leaving=self._fleet.leaving,
                settings_complete=self._settings.complete,
                revisions=self._settings.revisions(),
                refused_documents=self._settings.refusals,
                calls_active=self._dispatcher.active,
                queues={
                    str(k): v
                    for k, v in self._dispatcher.queue_lengths().items()
                },
                agents=len(agents),
                agents_ready=sum(1 for info in agents if info.accepts_work),
            )
        )

    async def settings(self, request: requests.Request) -> responses.Response:
        """Returns the effective settings and the level that each comes from."""
        service = request.query_params.get("service")
        customer = request.query_params.get("customer")
        explained: list[tree.Effective] = self._settings.tree.explain(
            ids.ServiceId(service) if service else None,
            ids.CustomerId(customer) if customer else None,
        )
        return _json(explained)

    async def rollouts(self, request: requests.Request) -> responses.Response:
        """Returns each service's rollout progress at this entry's agents."""
        found = []
        for service_id in self._settings.tree.service_ids():
            rollout = self._settings.tree.rollout(service_id)
            if rollout is not None:
                found.append(self._rollout_status(service_id, rollout.model))
        return _json(found)

    async def vms(self, request: requests.Request) -> responses.Response:
        """Returns the state of each VM that is listed or linked."""
        listed = {ids.VmId(vm.vm_id): vm for vm in self._fleet.vms()}
        linked = {info.vm_id: info for info in self._table}
        found = [
            self._vm_status(vm_id, listed.get(vm_id), linked.get(vm_id))
            for vm_id in sorted({*listed, *linked})
        ]
        return _json(found)

    async def limits(self, request: requests.Request) -> responses.Response:
        """Returns each customer's limits and this entry's share of them."""
        entries = self._admission.entry_count
        found = []
        for customer_id in self._settings.tree.customer_ids():
            values = self._settings.tree.effective(None, customer_id)
            found.append(
                admin_documents.LimitStatus(
                    customer_id,
                    values.requests_per_s,
                    values.tokens_per_s,
                    values.requests_per_s / entries,
                    values.tokens_per_s / entries,
                )
            )
        return _json(found)

    async def counters(self, request: requests.Request) -> responses.Response:
        """Returns all counters of this entry and of its agents."""
        found = [
            admin_documents.CounterStatus(
                self._entry_id, v.name.value, v.reason, v.total
            )
            for v in self._totals.values()
        ]
        for info in self._table:
            found.extend(
                admin_documents.CounterStatus(
                    info.vm_id, name.value, reason, total
                )
                for (name, reason), total in sorted(
                    info.counters.items(),
                    key=lambda item: (item[0][0].value, item[0][1]),
                )
            )
        return _json(found)

    async def drain(self, request: requests.Request) -> responses.Response:
        """Makes this entry or one of its agents drain."""
        try:
            body = await caller_requests.read_body(request, _BODY_BYTES_MAX)
            order = msgspec.json.decode(body, type=admin_documents.DrainRequest)
        except errors.CallError as failure:
            return _refused(failure.kind, failure.detail)
        except decoding.MALFORMED as error:
            return _refused(errors.ErrorKind.INVALID_REQUEST, str(error))
        if not self._fleet.drain_vm(ids.VmId(order.vm), order.reason):
            return _refused(
                errors.ErrorKind.INVALID_REQUEST,
                f"VM {order.vm!r} is not linked to this entry",
            )
        kept = "memory of that process only; its replacement takes work again"
        return _json(admin_documents.DrainAnswer(order.vm, True, kept))

    def _route(
        self, name: str, endpoint: _Endpoint, method: str = "GET"
    ) -> routing.Route:
        async def checked(request: requests.Request) -> responses.Response:
            if not self._authorized(request):
                return _refused(errors.ErrorKind.UNAUTHORIZED, "")
            return await endpoint(request)

        return routing.Route(f"/admin/v1/{name}", checked, methods=[method])

    def _authorized(self, request: requests.Request) -> bool:
        header = request.headers.get("authorization", "")
        given = header.removeprefix(_BEARER).encode()
        return header.startswith(_BEARER) and hmac.compare_digest(
            given, self._key
        )

    def _rollout_status(
        self, service_id: ids.ServiceId, model: str
    ) -> admin_documents.RolloutStatus:
        reports = [
            info.report
            for info in self._table
            if info.report.service_id == service_id
        ]
        rollout = self._settings.tree.rollout(service_id)
        target = "" if rollout is None else schema.version_id(rollout)
        serving = [r for r in reports if r.version == target]
        waiting: dict[str, int] = {}
        for report in reports:
            waiting[report.note] = waiting.get(report.note, 0) + 1
        return admin_documents.RolloutStatus(
            service=service_id,
            model=model,
            version=target,
            replicas=len(reports),
            replicas_serving=len(serving),
            chunks_held=sum(r.chunks_held for r in reports),
            chunks_total=sum(r.chunks_total for r in reports),
            origin_bytes=sum(r.origin_bytes for r in reports),
            sent_bytes=sum(r.sent_bytes for r in reports),
            sent_bytes_max=max((r.sent_bytes for r in reports), default=0),
            waiting=waiting,
        )

    def _vm_status(
        self,
        vm_id: ids.VmId,
        listed: clients.ListedVm | None,
        info: agent_table.AgentInfo | None,
    ) -> admin_documents.VmStatus:
        now_ms = self._clock.now_ms()
        report = None if info is None else info.report
        return admin_documents.VmStatus(
            vm=vm_id,
            role="upstream" if listed is None else listed.role.value,
            data_centre="" if listed is None else listed.data_centre,
            service="" if report is None else report.service_id,
            listed="no" if listed is None else listed.state.value,
            state="" if report is None else report.state.value,
            version="" if report is None else report.version,
            heard_ms_ago=None if info is None else now_ms - info.heard_ms,
            in_flight=0 if info is None else info.in_flight,
            capacity=0 if report is None else report.capacity,
            breaker="" if info is None else info.breaker.state(now_ms).value,
            note="" if report is None else report.note,
        )


def _json(value: object) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(value), media_type="application/json"
    )


def _refused(kind: errors.ErrorKind, detail: str) -> responses.Response:
    failure = errors.CallError(kind, detail)
    return answers.error_response(answers.error_body(failure, "admin"))
