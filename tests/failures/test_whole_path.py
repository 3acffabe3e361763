"""Calls and rollouts through the complete fleet, without failures."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tests.failures import conftest


def test_rollout_under_live_calls(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start()
        live = b.live()
        live.start()
        await b.roll_out("v2", "v1")
        await b.until(lambda: b.serves("v2", 3), 20_000)
        results = await live.stop()
        assert results
        assert all(result.whole and not result.mixed for result in results)

    bench(scenario)


def test_resent_confirmation_runs_once(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    """Guards against running a repeated non-idempotent call twice."""

    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=1)
        refused = await b.confirm("entry-0", "slot-1")
        assert refused.status == 428
        error = msgspec.json.decode(refused.body)["error"]
        assert error["ran"] == "no"
        assert await b.runs("vm-1", "slot-1") == 0
        token = error["run_token"]
        for entry in ("entry-0", "entry-1", "entry-0"):
            reply = await b.confirm(entry, "slot-1", marlramp_run_token=token)
            assert reply.status == 200
        assert await b.runs("vm-1", "slot-1") == 1

    bench(scenario)
