"""Runs requests at the upstream and sends their answers to entries in parts."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import decoding
from marlramp import errors
from marlramp import ids
from marlramp import logs
from marlramp.core.grant_calls import assembly
from marlramp.core.grant_calls import grants
from marlramp.protocol import messages
from marlramp.shell import http

FLUSH_INTERVAL_MS = 10.0
"""Interval at which the parts of all answers to an entry are sent together."""

KEPT_BYTES_MAX = 16 * 1024 * 1024
"""Most bytes of answers that are kept in case their request is sent again. Only
answers to requests that carry a run token are kept."""

SUBSCRIBERS_MAX = 8
"""Most receivers of one answer; repeats beyond them are refused."""

MESSAGE_BYTES_MAX = 2 * messages.BODY_BYTES_MAX - 64 * 1024
"""Most bytes of parts in one message. An entry closes the link, with all runs
on it, if a message exceeds twice the limit of a body."""

DETAIL_CHARACTERS_MAX = 400
"""Limit of the description of a failure, which may quote the upstream."""

_DONE_EVENT = b"data: [DONE]\n\n"
_DATA_PREFIX = b"data: "
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_SERVER_ERROR = 500


class Admission(Protocol):
    """Decides which version may be served now."""

    def serving_version(self) -> ids.VersionId | None:
        """Returns the verified version served, None if none may be served."""
        ...

    def handle_unexpected_version(self, version: ids.VersionId) -> None:
        """Handles an answer that names an unexpected version."""
        ...


class Outbox(Protocol):
    """Sends messages to entries."""

    def send(self, entry_id: ids.VmId, message: messages.FromAgent) -> None:
        """Sends a message to one entry, dropping it if the link is down."""
        ...


class _VersionEvent(msgspec.Struct):
    """The field of a completion event that holds the model version."""

    system_fingerprint: str = ""


class _Subscriber(msgspec.Struct, frozen=True):
    """The receiver of an answer: an entry and its id of the attempt."""

    entry_id: ids.VmId
    request_id: ids.RequestId


class _Output:
    """The answer of one run and the subscribers that receive it."""

    def __init__(self, subscriber: _Subscriber, *, kept: bool) -> None:
        self.subscribers = [subscriber]
        self.kept = kept
        self.first = True
        self.headers: tuple[int, str] | None = None
        self.parts: list[assembly.Part] = []
        self.kept_bytes = 0
        self.ended: messages.RunEnded | None = None


class RunService:
    """Consumes grants and relays requests and answers.

    Requests come from entries and run at the upstream; their answers go back
    to the entries.
    """

    def __init__(
        self,
        ledger: grants.GrantLedger,
        client: http.HttpClient,
        upstream_url: str,
        admission: Admission,
        outbox: Outbox,
        totals: counters.Counters,
        time: clock.Clock,
        on_finished: Callable[[], None],
        on_lost: Callable[[messages.Run, bool], None],
    ) -> None:
        """Creates a service without runs.

        Args:
          ledger: grants of this agent.
          client: sends requests to the upstream.
          upstream_url: where the upstream listens.
          admission: decides which version may be served.
          outbox: sends messages to entries.
          totals: counters.
          time: the clock.
          on_finished: called when a run ends and frees its capacity.
          on_lost: called when the connection of a run ends early, with whether
            a part of its answer had arrived.
        """
        self._on_lost = on_lost
        self._on_finished = on_finished
        self._ledger = ledger
        self._client = client
        self._url = upstream_url.rstrip("/")
        self._admission = admission
        self._outbox = outbox
        self._totals = totals
        self._clock = time
        self._tasks: dict[ids.GrantNumber, asyncio.Task[None]] = {}
        self._outputs: collections.OrderedDict[ids.GrantNumber, _Output] = (
            collections.OrderedDict()
        )
        self._kept_bytes = 0
        self._paused_until_ms = float("-inf")
        self.relayed_bytes = 0
        self._pending: dict[
            ids.VmId, dict[ids.RequestId, list[assembly.Part]]
        ] = {}
        self._pending_bytes = 0
        self._flush_handle: asyncio.TimerHandle | None = None
        self._version_decoder = msgspec.json.Decoder(_VersionEvent)

    @property
    def kept_bytes(self) -> int:
        """Bytes of answers that are kept for repeats of their requests."""
        return self._kept_bytes

    @property
    def paused(self) -> bool:
        """Whether the upstream asked for a pause that has not ended."""
        return self._clock.now_ms() < self._paused_until_ms

    def start(self, entry_id: ids.VmId, run: messages.Run) -> None:
        """Starts a run if its grant can be consumed, else refuses it.

        A repeated request with a run token receives the answer of its first
        run.
        """
        request_id = ids.RequestId(run.request_id)
        number = ids.GrantNumber(run.number)
        subscriber = _Subscriber(entry_id, request_id)
        version = self._admission.serving_version()
        if version is None or run.version not in ("", version):
            self._refuse(subscriber, errors.ErrorKind.VERSION_NOT_READY)
            return
        if self.paused:
            self._refuse(subscriber, errors.ErrorKind.UPSTREAM_BUSY)
            return
        refusal = self._ledger.consume(
            ids.Incarnation(run.incarnation),
            number,
            entry_id,
            self._clock.now_ms(),
            from_token=run.from_token,
        )
        if refusal is None:
            self._begin(subscriber, run, version)
        elif self._may_attach(run, refusal):
            self._attach(number, subscriber)
        else:
            self._refuse(subscriber, refusal.kind, refusal.ran)

    def cancel(self, entry_id: ids.VmId, cancel: messages.Cancel) -> None:
        """Voids a grant or stops its run, and sends the state of the run."""
        number = ids.GrantNumber(cancel.number)
        state = self._ledger.cancel(
            ids.Incarnation(cancel.incarnation), number, self._clock.now_ms()
        )
        if state is grants.RunState.RUNNING and cancel.stop:
            self._tasks[number].cancel()
        self._send_status(entry_id, cancel.request_id, state)

    def query(self, entry_id: ids.VmId, query: messages.RunQuery) -> None:
        """Sends the state of the run of a grant to the entry."""
        state = self._ledger.state(
            ids.Incarnation(query.incarnation),
            ids.GrantNumber(query.number),
            self._clock.now_ms(),
        )
        self._send_status(entry_id, query.request_id, state)

    async def wait_idle(self) -> None:
        """Returns when no run is in progress."""
        while self._tasks:
            await asyncio.wait(list(self._tasks.values()))

    def _may_attach(self, run: messages.Run, refusal: grants.Refusal) -> bool:
        return (
            run.from_token
            and refusal.kind is errors.ErrorKind.RUN_ALREADY_STARTED
            and self._is_kept(ids.GrantNumber(run.number))
        )

    def _is_kept(self, number: ids.GrantNumber) -> bool:
        output = self._outputs.get(number)
        return output is not None and output.kept

    def _attach(self, number: ids.GrantNumber, subscriber: _Subscriber) -> None:
        """Sends the answer of the first run to a repeat of its request."""
        output = self._outputs[number]
        known = subscriber in output.subscribers
        if not known and len(output.subscribers) >= SUBSCRIBERS_MAX:
            kind = errors.ErrorKind.RUN_ALREADY_STARTED
            self._refuse(subscriber, kind, errors.Ran.YES)
            return
        if output.headers is not None:
            self._send_headers(subscriber, *output.headers)
        for part in output.parts:
            self._queue_part(subscriber, part)
        if output.ended is not None:
            self._flush()
            self._send_ended(subscriber, output.ended)
        elif not known:
            output.subscribers.append(subscriber)

    def _begin(
        self,
        subscriber: _Subscriber,
        run: messages.Run,
        version: ids.VersionId,
    ) -> None:
        number = ids.GrantNumber(run.number)
        output = _Output(subscriber, kept=run.from_token)
        self._outputs[number] = output
        task = asyncio.create_task(self._run(run, version, output))
        self._tasks[number] = task
        task.add_done_callback(
            lambda done: self._on_task_done(number, output, done)
        )

    def _on_task_done(
        self,
        number: ids.GrantNumber,
        output: _Output,
        task: asyncio.Task[None],
    ) -> None:
        self._tasks.pop(number, None)
        if task.cancelled():
            # `_run` handles a cancellation, unless it had not begun.
            state = grants.RunState.VOID
            self._ledger.finish(number, state, self._clock.now_ms())
            kind = errors.ErrorKind.CANCELLED
            failure = errors.CallError(kind, ran=errors.Ran.NO)
            self._end(number, output, failure)
            self._on_finished()

    async def _run(
        self, run: messages.Run, version: ids.VersionId, output: _Output
    ) -> None:
        number = ids.GrantNumber(run.number)
        failure: errors.CallError | None = None
        state = grants.RunState.FAILED
        try:
            async with asyncio.timeout(
                run.remaining_ms / clock.MILLIS_PER_SECOND
            ):
                await self._relay(run, version, output)
            state = grants.RunState.SUCCEEDED
        except TimeoutError:
            failure = errors.CallError(errors.ErrorKind.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            failure = errors.CallError(errors.ErrorKind.CANCELLED)
        except errors.CallError as error:
            failure = error
        except Exception as error:
            logs.log("run_crashed", detail=repr(error))
            failure = errors.CallError(errors.ErrorKind.INTERNAL, repr(error))
        self._ledger.finish(number, state, self._clock.now_ms())
        self._end(number, output, failure)
        self._on_finished()

    async def _relay(
        self, run: messages.Run, version: ids.VersionId, output: _Output
    ) -> None:
        headers = {
            "content-type": run.content_type,
            "x-request-id": run.caller_id or run.request_id,
            "x-priority": str(int(run.priority)),
        }
        if run.resume_from:
            headers["x-resume-from"] = str(run.resume_from)
        try:
            stream = await self._client.stream(
                run.method,
                self._url + run.path,
                body=run.body,
                headers=headers,
                timeout_ms=max(1.0, run.remaining_ms),
                at_most_once=not run.idempotent,
                body_bytes_max=0 if run.stream else MESSAGE_BYTES_MAX,
            )
        except http.HttpError as error:
            ran = errors.Ran.UNKNOWN if error.sent else errors.Ran.NO
            if error.sent:
                self._on_lost(run, False)
            raise errors.CallError(
                errors.ErrorKind.UPSTREAM_FAILED, str(error), ran=ran
            ) from error
        self._record_pause(stream)
        try:
            if run.stream:
                await self._relay_events(run, version, output, stream)
            else:
                await self._relay_body(output, stream)
        except http.HttpError as error:
            self._on_lost(run, not output.first)
            raise errors.CallError(
                errors.ErrorKind.ANSWER_INCOMPLETE, str(error)
            ) from error
        finally:
            await stream.close()

    def _record_pause(self, stream: http.EventStream) -> None:
        """Records the pause that a refusal asks for.

        A later and shorter pause does not end it earlier.
        """
        asked_ms = stream.retry_after_ms
        if stream.status not in (_TOO_MANY_REQUESTS, _UNAVAILABLE):
            return
        if not asked_ms:
            return
        until_ms = self._clock.now_ms() + asked_ms
        self._paused_until_ms = max(self._paused_until_ms, until_ms)
        self._totals.add(counters.CounterName.REPLICA_PAUSES, "asked")
        logs.log(
            "replica_pause_asked",
            status=stream.status,
            asked_ms=round(asked_ms),
            source="answer",
        )

    async def _relay_body(
        self, output: _Output, stream: http.EventStream
    ) -> None:
        body = await stream.body()
        self._set_headers(output, stream.status, stream.content_type)
        part = assembly.Part(0, body, ids.VersionId(""), last=True)
        self._add_part(output, part)

    async def _relay_events(
        self,
        run: messages.Run,
        version: ids.VersionId,
        output: _Output,
        stream: http.EventStream,
    ) -> None:
        if stream.status in (_TOO_MANY_REQUESTS, _UNAVAILABLE):
            raise errors.CallError(errors.ErrorKind.UPSTREAM_BUSY)
        if stream.status >= _SERVER_ERROR:
            raise errors.CallError(
                errors.ErrorKind.UPSTREAM_FAILED, f"status {stream.status}"
            )
        self._set_headers(output, stream.status, stream.content_type)
        seq = run.resume_from
        async for event in stream.events():
            last = event == _DONE_EVENT
            if not last:
                self._check_version(event, version)
            self._add_part(output, assembly.Part(seq, event, version, last))
            seq += 1
            if last:
                return
        self._on_lost(run, not output.first)
        raise errors.CallError(errors.ErrorKind.ANSWER_INCOMPLETE)

    def _check_version(self, event: bytes, version: ids.VersionId) -> None:
        try:
            stamped = self._version_decoder.decode(event[len(_DATA_PREFIX) :])
        except decoding.MALFORMED as error:
            raise errors.CallError(
                errors.ErrorKind.UPSTREAM_FAILED, f"malformed event: {error}"
            ) from error
        if stamped.system_fingerprint != version:
            actual = ids.VersionId(_cut(stamped.system_fingerprint))
            self._admission.handle_unexpected_version(actual)
            raise errors.CallError(
                errors.ErrorKind.VERSION_CHANGED,
                f"expected {version}, the engine answered from {actual}",
            )

    def _set_headers(
        self, output: _Output, status: int, content_type: str
    ) -> None:
        output.headers = (status, content_type)
        for subscriber in output.subscribers:
            self._send_headers(subscriber, status, content_type)

    def _add_part(self, output: _Output, part: assembly.Part) -> None:
        self.relayed_bytes += len(part.data)
        if output.kept:
            self._keep(output, part)
        for subscriber in output.subscribers:
            self._queue_part(subscriber, part)
        if output.first:
            # The first part is sent at once, for a short time to first token.
            output.first = False
            self._flush()

    def _keep(self, output: _Output, part: assembly.Part) -> None:
        """Keeps a part, or none any more if the answer is too large."""
        output.parts.append(part)
        output.kept_bytes += len(part.data)
        self._kept_bytes += len(part.data)
        if output.kept_bytes > KEPT_BYTES_MAX:
            self._kept_bytes -= output.kept_bytes
            output.kept_bytes = 0
            output.kept = False
            output.parts.clear()

    def _queue_part(self, subscriber: _Subscriber, part: assembly.Part) -> None:
        if self._pending_bytes + len(part.data) > MESSAGE_BYTES_MAX:
            self._flush()
        self._pending_bytes += len(part.data)
        answers = self._pending.setdefault(subscriber.entry_id, {})
        answers.setdefault(subscriber.request_id, []).append(part)
        if self._flush_handle is None:
            loop = asyncio.get_running_loop()
            self._flush_handle = loop.call_later(
                FLUSH_INTERVAL_MS / clock.MILLIS_PER_SECOND, self._flush
            )

    def _flush(self) -> None:
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        pending, self._pending = self._pending, {}
        self._pending_bytes = 0
        for entry_id, answers in pending.items():
            batch = messages.PartsBatch(
                answers=[
                    messages.AnswerParts(request_id, parts)
                    for request_id, parts in answers.items()
                ]
            )
            self._outbox.send(entry_id, batch)

    def _end(
        self,
        number: ids.GrantNumber,
        output: _Output,
        failure: errors.CallError | None,
    ) -> None:
        self._flush()
        kind = None if failure is None else failure.kind
        if failure is not None:
            self._totals.add(counters.CounterName.REFUSALS, failure.kind.value)
        output.ended = messages.RunEnded(
            request_id="-",
            kind=kind,
            ran=errors.Ran.YES if failure is None else failure.ran,
            detail="" if failure is None else _cut(failure.detail),
            tokens=len(output.parts),
        )
        for subscriber in output.subscribers:
            self._send_ended(subscriber, output.ended)
        output.subscribers.clear()
        if not output.kept:
            del self._outputs[number]
        self._trim_kept()

    def _trim_kept(self) -> None:
        """Drops ended answers from the oldest on.

        Answers whose run the ledger no longer knows are dropped, and so are
        answers beyond `KEPT_BYTES_MAX`.
        """
        for number, output in list(self._outputs.items()):
            state = self._ledger.state(
                self._ledger.incarnation, number, self._clock.now_ms()
            )
            forgotten = state is grants.RunState.UNKNOWN
            if not forgotten and self._kept_bytes <= KEPT_BYTES_MAX:
                return
            if output.ended is not None:
                self._kept_bytes -= output.kept_bytes
                del self._outputs[number]

    def _refuse(
        self,
        subscriber: _Subscriber,
        kind: errors.ErrorKind,
        ran: errors.Ran = errors.Ran.NO,
    ) -> None:
        self._totals.add(counters.CounterName.REFUSALS, kind.value)
        ended = messages.RunEnded(
            request_id="-", kind=kind, ran=ran, detail="", tokens=0
        )
        self._send_ended(subscriber, ended)

    def _send_headers(
        self, subscriber: _Subscriber, status: int, content_type: str
    ) -> None:
        message = messages.RunHeaders(
            request_id=subscriber.request_id,
            status=status,
            content_type=content_type,
        )
        self._outbox.send(subscriber.entry_id, message)

    def _send_ended(
        self, subscriber: _Subscriber, ended: messages.RunEnded
    ) -> None:
        message = msgspec.structs.replace(
            ended, request_id=subscriber.request_id
        )
        self._outbox.send(subscriber.entry_id, message)

    def _send_status(
        self, entry_id: ids.VmId, request_id: str, state: grants.RunState
    ) -> None:
        message = messages.RunStatus(request_id=request_id, state=state)
        self._outbox.send(entry_id, message)


def _cut(text: str) -> str:
    return text[:DETAIL_CHARACTERS_MAX]
