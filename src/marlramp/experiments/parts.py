"""Measures the entry's processor time per relayed part.

One real entry relays streams between stand-in agents, which use the real link
protocol and send parts in batches as agents do, and callers that read bytes
without parsing them. Agents and callers run in the measuring process.
"""

from __future__ import annotations

import asyncio

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp.agent import runs
from marlramp.core.grant_calls import assembly
from marlramp.experiments import capacity
from marlramp.experiments import documents
from marlramp.experiments import fleet
from marlramp.experiments import processes
from marlramp.protocol import codec
from marlramp.protocol import messages
from marlramp.shell import links

SERVICE = "pool"
CUSTOMER = "hall-crews"
PART_INTERVAL_MS = 51.0
START_TIMEOUT_S = 20.0
READ_BYTES = 65_536
HEARTBEAT_S = 1.0
GRANT_TTL_MS = 60_000.0
VERSION = ids.VersionId("v1")
EVENT = (
    b'data: {"id": "0123456789abcdef", "object": "text_completion", '
    b'"system_fingerprint": "v1", "choices": [{"index": 0, "text": "token ", '
    b'"finish_reason": null}]}\n\n'
)


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a measurement.

    Attributes:
      agents: number of stand-in agents.
      streams: number of open streams at each agent.
      seconds: length of the measurement.
    """

    agents: int = 20
    streams: int = 19
    seconds: float = 8.0


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Results; `received_per_s` is calculated from the bytes callers read."""

    agents: int
    streams: int
    parts_per_s: float
    received_per_s: float
    entry_core: float
    us_per_part: float
    flush_interval_ms: float


class _StandInAgent:
    """Simulates the agent of one link and generates its answers."""

    def __init__(
        self,
        number: int,
        context: links.LinkContext,
        port: int,
        capacity_: int,
        revisions: list[int],
    ) -> None:
        self._link_id = links.LinkId(f"vm-{number}", 1)
        self._connector = links.Connector(
            context, self._link_id, processes.HOST, port
        )
        self._capacity = capacity_
        self._revisions = revisions
        self._decoder = codec.entry_decoder()
        self._streams: dict[str, int] = {}
        self._stopping = False
        self.parts = 0

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._heartbeat())
            group.create_task(self._send_parts())

    def _send(self, message: messages.FromAgent) -> None:
        self._connector.send(codec.encode(message))

    async def _receive(self) -> None:
        while True:
            for data in await self._connector.receive():
                message = self._decoder.decode(data)
                if isinstance(message, messages.Run):
                    self._begin(message)

    def _begin(self, run: messages.Run) -> None:
        self._streams[run.request_id] = 0
        self._send(
            messages.RunHeaders(
                request_id=run.request_id,
                status=200,
                content_type="text/event-stream",
            )
        )

    async def _heartbeat(self) -> None:
        self._send(self._report())
        grants_sent = False
        while True:
            self._send(
                messages.AgentHeartbeat(
                    running=len(self._streams),
                    reported_load=None,
                    report_age_ms=0.0,
                    revisions=self._revisions,
                )
            )
            if not grants_sent:
                grants_sent = True
                self._send(
                    messages.GrantsIssued(
                        incarnation=1,
                        first=1,
                        count=self._capacity,
                        ttl_ms=GRANT_TTL_MS,
                    )
                )
            await asyncio.sleep(HEARTBEAT_S)

    def _report(self) -> messages.AgentReport:
        return messages.AgentReport(
            vm_id=self._link_id.vm_id,
            data_centre_id="randstad",
            incarnation=1,
            service_id=SERVICE,
            state=messages.AgentState.READY,
            model="stand-7b",
            version=VERSION,
            target_version=VERSION,
            chunks_held=0,
            chunks_total=0,
            capacity=self._capacity,
            sent_bytes=0,
            origin_bytes=0,
            note="",
        )

    async def _send_parts(self) -> None:
        """Sends the parts that are due, those of all streams in one batch."""
        loop = asyncio.get_running_loop()
        interval_s = PART_INTERVAL_MS / clock.MILLIS_PER_SECOND
        flush_s = runs.FLUSH_INTERVAL_MS / clock.MILLIS_PER_SECOND
        due: dict[str, float] = {}
        while True:
            now = loop.time()
            answers = []
            for number, (request_id, seq) in enumerate(self._streams.items()):
                start = now + interval_s * number / len(self._streams)
                if due.setdefault(request_id, start) > now:
                    continue
                due[request_id] += interval_s
                part = assembly.Part(seq, EVENT, VERSION)
                answers.append(messages.AnswerParts(request_id, [part]))
                self._streams[request_id] = seq + 1
            if answers:
                self.parts += len(answers)
                self._send(messages.PartsBatch(answers=answers))
            await asyncio.sleep(flush_s)


async def run(plan: Plan) -> Report:
    """Starts one entry and measures it while it relays streams."""
    async with fleet.Fleet(("randstad",)) as cluster:
        await cluster.start_standins()
        await _publish(cluster)
        await cluster.start_entries(1)
        context = links.LinkContext(cluster.link_keys(), counters.Counters())
        port = int(str(cluster.vms["entry-0"]["port"]))
        revisions = [1, 2, 3]
        agents = [
            _StandInAgent(number, context, port, plan.streams, revisions)
            for number in range(plan.agents)
        ]
        tasks = [asyncio.create_task(agent.run()) for agent in agents]
        await cluster.await_ready(
            {SERVICE: plan.agents}, START_TIMEOUT_S * clock.MILLIS_PER_SECOND
        )
        received = _Received()
        callers = await _open_streams(
            cluster, plan.agents * plan.streams, received
        )
        report = await _measure(cluster, plan, agents, received)
        for task in [*tasks, *callers]:
            task.cancel()
        context.close()
        return report


async def _publish(cluster: fleet.Fleet) -> None:
    await cluster.publish(documents.TRADE_BODY_KEY, documents.base([CUSTOMER]))
    await cluster.publish(documents.MEMBER_KEY, documents.base([]))
    rollout = documents.RolloutText(
        model="stand-7b", version="v1", manifest="0" * 64
    )
    text = documents.deployment(
        {SERVICE: rollout}, (), {"request_timeout_ms": 3_600_000}
    )
    await cluster.publish(documents.DEPLOYMENT_KEY, text)


async def _open_streams(
    cluster: fleet.Fleet, count: int, received: _Received
) -> list[asyncio.Task[None]]:
    """Opens streams and reads their bytes in the background."""
    port = cluster.http_ports["entry-0"]
    opened = [await _open_stream(port) for _ in range(count)]
    return [
        asyncio.create_task(received.read(reader, writer))
        for reader, writer in opened
    ]


async def _open_stream(
    port: int,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(processes.HOST, port)
    body = msgspec.json.encode(
        {"model": SERVICE, "prompt": "x", "max_tokens": 9, "stream": True}
    )
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\n"
        f"marlramp-customer: {CUSTOMER}\r\n"
        "marlramp-timeout-ms: 3600000\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await writer.drain()
    return reader, writer


class _Received:
    """Counts the bytes that all callers have read."""

    def __init__(self) -> None:
        self.bytes = 0

    async def read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reads one stream to its end, holding its connection open."""
        while data := await reader.read(READ_BYTES):
            self.bytes += len(data)
        writer.close()


async def _measure(
    cluster: fleet.Fleet,
    plan: Plan,
    agents: list[_StandInAgent],
    received: _Received,
) -> Report:
    await asyncio.sleep(2.0)
    window = capacity.Window([cluster.entries["entry-0"]])
    before = sum(agent.parts for agent in agents)
    bytes_before = received.bytes
    await asyncio.sleep(plan.seconds)
    cpu_s = window.close().cpu_s
    parts_per_s = (sum(a.parts for a in agents) - before) / plan.seconds
    received_per_s = (received.bytes - bytes_before) / (
        len(EVENT) * plan.seconds
    )
    if parts_per_s == 0:
        raise errors.CallError(errors.ErrorKind.INTERNAL, "no part was sent")
    return Report(
        agents=plan.agents,
        streams=plan.agents * plan.streams,
        parts_per_s=round(parts_per_s, 1),
        received_per_s=round(received_per_s, 1),
        entry_core=round(cpu_s, 3),
        us_per_part=round(1e6 * cpu_s / parts_per_s, 1),
        flush_interval_ms=runs.FLUSH_INTERVAL_MS,
    )
