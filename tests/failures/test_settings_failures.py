"""Settings changes while entries or the platform fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp.experiments import documents
from tests.failures import conftest


async def _revisions(b: conftest.Bench, entry: str) -> list[int]:
    status = await b.status(entry)
    revisions: list[int] = status["revisions"]
    return revisions


def test_change_takes_effect_everywhere_within_three_seconds(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=4, replicas=1, plain=0)
        await b.fleet.publish(
            documents.MEMBER_KEY, documents.base([], {"retries_max": 1})
        )

        async def in_force() -> bool:
            found = [await _revisions(b, e) for e in b.fleet.entries]
            return len({tuple(r) for r in found}) == 1 and found[0][1] > 2

        assert await b.until(in_force, 3_000) < 3_000

    bench(scenario)


def test_change_takes_effect_although_entries_are_killed(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    """Guards against losing a change with the entries that read it."""

    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=4, replicas=2, plain=0)
        before = await _revisions(b, "entry-3")
        await b.fleet.publish(
            documents.MEMBER_KEY, documents.base([], {"retries_max": 1})
        )
        b.fleet.entries["entry-0"].kill()
        b.fleet.entries["entry-2"].kill()

        async def in_force() -> bool:
            found = [await _revisions(b, e) for e in ("entry-1", "entry-3")]
            return all(r[1] > before[1] for r in found)

        await b.until(in_force, 3_000)

    bench(scenario)


def test_stale_platform_does_not_revert_settings(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    """Guards against an older revision that the platform serves later."""

    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=2, replicas=2, plain=0)
        await b.fleet.standin_call(
            "platform", "PUT", "/faults", {"frozen": True}
        )
        newest = (await _revisions(b, "entry-0"))[2]
        await b.fleet.publish(
            documents.DEPLOYMENT_KEY,
            documents.deployment({}, ["stock"]),
            revision=newest - 1,
        )
        await b.fleet.standin_call("platform", "PUT", "/faults", {})
        b.fleet.entries["entry-1"].kill()
        b.fleet.entries["entry-1"].restart()
        await b.fleet.await_ready({"pool": 2}, 15_000)
        for entry in b.fleet.entries:
            assert (await _revisions(b, entry))[2] == newest
        assert (await b.complete("entry-1")).whole

    bench(scenario)


def test_restarted_entry_gets_settings_while_the_platform_is_down(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=2, replicas=1, plain=0)
        await b.fleet.standin_call("platform", "PUT", "/faults", {"down": True})
        b.fleet.entries["entry-1"].kill()
        b.fleet.entries["entry-1"].restart()
        await b.fleet.await_ready({"pool": 1}, 15_000)
        assert (await b.complete("entry-1")).whole

    bench(scenario)


def test_invalid_document_leaves_the_previous_one_in_effect(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=1, replicas=1, plain=0)
        before = await _revisions(b, "entry-0")
        await b.fleet.publish(
            documents.MEMBER_KEY, "schema = 1\n[settings]\nretries_max = -1\n"
        )

        async def refused() -> bool:
            return bool((await b.status("entry-0"))["refused_documents"])

        await b.until(refused, 3_000)
        assert await _revisions(b, "entry-0") == before
        assert (await b.complete()).whole
        await b.fleet.publish(documents.MEMBER_KEY, documents.base([]))

        async def accepted() -> bool:
            return (await _revisions(b, "entry-0"))[1] > before[1]

        await b.until(accepted, 8_000)

    bench(scenario)


def test_concurrent_changes_are_applied_in_the_platforms_order(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=2, replicas=2, plain=0)
        texts = [
            documents.base([], {"retries_max": number}) for number in range(6)
        ]
        await asyncio.gather(
            *[b.fleet.publish(documents.MEMBER_KEY, text) for text in texts]
        )

        async def settled() -> bool:
            found = [await _revisions(b, e) for e in b.fleet.entries]
            return found[0] == found[1] and found[0][1] >= 9

        await b.until(settled, 3_000)
        values = {
            await b.fleet.admin(entry, "settings") for entry in b.fleet.entries
        }
        assert len(values) == 1

    bench(scenario)
