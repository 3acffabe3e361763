from __future__ import annotations

import asyncio

import pytest

from marlramp import clock
from marlramp.platform import calls
from marlramp.platform import clients
from marlramp.shell import http1_call
from standins import raw_http


class Service:
    """Answers each call with a status and a `Retry-After` value."""

    def __init__(self, status: int, retry_after: str) -> None:
        self.status = status
        self.retry_after = retry_after
        self.calls = 0

    async def serve(self, peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            self.calls += 1
            await peer.answer(
                request, self.status, retry_after=self.retry_after
            )


def failures(service: Service, pauses_ms: list[float]) -> list[float]:
    """Makes a call after each pause and returns the retry times."""
    time = clock.ManualClock(1_000.0)

    async def main() -> list[float]:
        async with raw_http.ScriptedServer(service.serve) as server:
            caller = http1_call.HttpCaller(clock.SystemClock())
            platform_calls = calls.PlatformCalls(caller, time=time)
            retry_times_ms = []
            for pause_ms in pauses_ms:
                time.advance(pause_ms)
                with pytest.raises(clients.PlatformError) as raised:
                    await platform_calls.make(
                        "GET", f"http://{server.address}/x", 500.0
                    )
                retry_times_ms.append(raised.value.retry_after_ms)
            return retry_times_ms

    return asyncio.run(main())


@pytest.mark.parametrize("status", [429, 503])
def test_no_calls_are_sent_before_the_retry_time(status: int) -> None:
    """Guards against calls to an overloaded service that asked for a pause."""
    service = Service(status, "2")
    assert failures(service, [0.0, 500.0, 1_499.0, 2.0])[:3] == [
        2_000.0,
        1_500.0,
        1.0,
    ]
    assert service.calls == 2


@pytest.mark.parametrize(("status", "value"), [(503, "nan"), (404, "60")])
def test_other_answers_start_no_pause(status: int, value: str) -> None:
    """Guards against a pause after a bad time or another status."""
    service = Service(status, value)
    failures(service, [0.0, 0.0, 0.0])
    assert service.calls == 3
