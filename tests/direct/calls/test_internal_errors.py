"""Errors of the entry itself while it serves a request."""

from __future__ import annotations

import asyncio

import pytest

from marlramp import counters
from marlramp.direct.calls import call as call_module
from marlramp.direct.calls import running_attempts
from tests.direct import conftest


@pytest.mark.parametrize(("started", "status"), [(False, 500), (True, 200)])
def test_internal_error_is_answered_unless_an_answer_has_begun(
    *,
    started: bool,
    status: int,
    run_entry: conftest.RunEntry,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a whole request whose connection is just closed."""

    async def fail(call: call_module.Call) -> None:
        if started:
            call.responder.start(200, [], 100)
        raise ValueError

    async def test(entry: conftest.Entry) -> None:
        monkeypatch.setattr(entry.forwarder, "_run", fail)
        answer = await entry.call("/safe/x")
        assert answer.startswith(b"HTTP/1.1 %d" % status)
        assert (b'"error":"internal"' in answer) is not started
        assert len(entry.unanswered_reasons) == int(started)
        name = counters.CounterName.INTERNAL_ERRORS
        assert entry.totals.total(name, "forwarder") == 1

    run_entry(test)


def test_request_without_a_running_attempt_does_not_wait() -> None:
    """Guards against a request that is held until its caller leaves."""

    async def main() -> None:
        async with asyncio.timeout(1), running_attempts.RunningAttempts() as r:
            with pytest.raises(RuntimeError, match="no attempt"):
                await r.wait()

    asyncio.run(main())
