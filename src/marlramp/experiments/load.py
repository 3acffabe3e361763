"""Live calls to entries, whose answers are checked.

An answer must be complete and come from a single version.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import hashlib
import random

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp.core.grant_calls import queueing
from marlramp.entry import answers
from marlramp.entry import requests as caller_requests
from marlramp.shell import http

_DATA = b"data: "
_DONE = b"data: [DONE]\n\n"
_ERROR = b"event: error\n"
_OK = 200


class CallResult(msgspec.Struct, kw_only=True):
    """Result of one call.

    Attributes:
      customer: customer of the call.
      priority: priority of the call.
      whole: whether the answer was complete and correct.
      mixed: whether the answer came from more than one version.
      version: version of the first part of the answer.
      kind: the error kind, empty if there was no error.
      ran: whether the call ran according to the error, empty without one.
      ttft_ms: time to the first token, None if there was none.
      gaps_ms: times between tokens.
      total_ms: time to the last byte.
      tokens: number of tokens received.
    """

    customer: str
    priority: queueing.Priority
    whole: bool = False
    mixed: bool = False
    version: str = ""
    kind: str = ""
    ran: str = ""
    ttft_ms: float | None = None
    gaps_ms: list[float] = []
    total_ms: float = 0.0
    tokens: int = 0


class CallPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a call."""

    service: str
    customer: str
    tokens: int = 16
    priority: queueing.Priority = queueing.Priority.NORMAL
    timeout_ms: float = 10_000.0


class _Choice(msgspec.Struct):
    text: str = ""


class _Event(msgspec.Struct):
    system_fingerprint: str = ""
    choices: list[_Choice] = []


_event_decoder = msgspec.json.Decoder(_Event)
_error_decoder = msgspec.json.Decoder(answers.ErrorDocument)


async def call(
    client: http.HttpClient,
    url: str,
    plan: CallPlan,
    prompt: str,
    request_id: str = "",
    on_token: Callable[[], None] = lambda: None,
) -> CallResult:
    """Makes one streamed completion call and checks its answer."""
    time = clock.SystemClock()
    result = CallResult(customer=plan.customer, priority=plan.priority)
    started_ms = time.now_ms()
    try:
        stream = await client.stream(
            "POST",
            url + caller_requests.COMPLETION_PATH,
            body=msgspec.json.encode(
                {
                    "model": plan.service,
                    "prompt": prompt,
                    "max_tokens": plan.tokens,
                    "stream": True,
                }
            ),
            headers=_headers(plan, request_id),
            timeout_ms=plan.timeout_ms + 1_000.0,
        )
        await _read(stream, plan, prompt, result, started_ms, on_token)
    except http.HttpError as error:
        result.kind = f"http: {error}"
    result.total_ms = time.now_ms() - started_ms
    return result


def _headers(plan: CallPlan, request_id: str) -> dict[str, str]:
    headers = {
        caller_requests.CUSTOMER_HEADER: plan.customer,
        caller_requests.PRIORITY_HEADER: plan.priority.name.lower(),
        caller_requests.TIMEOUT_HEADER: str(plan.timeout_ms),
        "content-type": "application/json",
    }
    if request_id:
        headers[answers.REQUEST_ID_HEADER] = request_id
    return headers


async def _read(
    stream: http.EventStream,
    plan: CallPlan,
    prompt: str,
    result: CallResult,
    started_ms: float,
    on_token: Callable[[], None],
) -> None:
    if stream.status != _OK:
        _record_error(result, await stream.body())
        return
    time = clock.SystemClock()
    seed = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    expected = [f"{seed}-{index} " for index in range(plan.tokens)]
    texts: list[str] = []
    previous_ms = started_ms
    result.gaps_ms = []
    async for event in stream.events():
        now_ms = time.now_ms()
        if event.startswith(_ERROR):
            _record_error(result, event[len(_ERROR) + len(_DATA) :])
            return
        if event == _DONE:
            result.whole = "".join(texts) == "".join(expected)
            return
        parsed = _event_decoder.decode(event[len(_DATA) :])
        if not result.version:
            result.version = parsed.system_fingerprint
            result.ttft_ms = now_ms - started_ms
        else:
            result.gaps_ms.append(now_ms - previous_ms)
        result.mixed |= parsed.system_fingerprint != result.version
        previous_ms = now_ms
        texts.append(parsed.choices[0].text)
        result.tokens += 1
        on_token()


def _record_error(result: CallResult, body: bytes) -> None:
    try:
        error = _error_decoder.decode(body).error
    except msgspec.DecodeError:
        result.kind = "malformed"
        return
    result.kind = error.kind.value
    result.ran = error.ran.value


class LiveLoad:
    """Makes calls in the background, with Poisson arrivals."""

    def __init__(
        self,
        client: http.HttpClient,
        urls: Sequence[str],
        plan: CallPlan,
        rate_per_s: float,
    ) -> None:
        """Creates a load that calls the entries at `urls` in turn."""
        self._client = client
        self._urls = list(urls)
        self._plan = plan
        self._rate_per_s = rate_per_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._calling: asyncio.Task[None] | None = None
        self.results: list[CallResult] = []
        self.sent = 0
        self.tokens = 0

    def start(self) -> None:
        """Starts making calls."""
        self._calling = asyncio.create_task(self._call_repeatedly())

    async def stop(self) -> list[CallResult]:
        """Makes no more calls, awaits open ones and returns all results."""
        if self._calling is not None:
            self._calling.cancel()
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        return self.results

    async def _call_repeatedly(self) -> None:
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            task = asyncio.create_task(self._call_once())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_s += random.expovariate(self._rate_per_s)
            await asyncio.sleep(max(0.0, next_s - loop.time()))

    async def _call_once(self) -> None:
        self.sent += 1
        url = self._urls[self.sent % len(self._urls)]
        prompt = f"quote {self.sent}"
        result = await call(
            self._client, url, self._plan, prompt, on_token=self._count_token
        )
        self.results.append(result)

    def _count_token(self) -> None:
        self.tokens += 1


class LoadSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Counts and times over many calls."""

    sent: int
    whole: int
    mixed: int
    failed: int
    errors: dict[str, int]
    ttft_p50_ms: float
    ttft_p95_ms: float
    ttft_p99_ms: float
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float


def summarize(results: Sequence[CallResult]) -> LoadSummary:
    """Returns the summary of many calls."""
    kinds: dict[str, int] = {}
    for result in results:
        if result.kind:
            kinds[result.kind] = kinds.get(result.kind, 0) + 1
    complete = [r for r in results if r.whole]
    first = [r.ttft_ms for r in complete if r.ttft_ms is not None]
    gaps = [gap for r in complete for gap in r.gaps_ms]
    return LoadSummary(
        sent=len(results),
        whole=len(complete),
        mixed=sum(1 for r in results if r.mixed),
        failed=len(results) - len(complete),
        errors=kinds,
        ttft_p50_ms=percentile(first, 0.50),
        ttft_p95_ms=percentile(first, 0.95),
        ttft_p99_ms=percentile(first, 0.99),
        gap_p50_ms=percentile(gaps, 0.50),
        gap_p95_ms=percentile(gaps, 0.95),
        gap_p99_ms=percentile(gaps, 0.99),
    )


def percentile(values: Sequence[float], fraction: float) -> float:
    """Returns a percentile by the nearest rank, 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(fraction * len(ordered)))
    return round(ordered[rank], 3)


def unknown_runs(results: Sequence[CallResult]) -> int:
    """Returns the number of calls of which it is unknown if they ran."""
    return sum(1 for r in results if r.ran == errors.Ran.UNKNOWN.value)
