"""Replicas that fall silent and go on, beside changed configurations."""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
import random
import re

import pytest

from soak import callers
from soak import promises
from standins import direct_documents
from standins import direct_fleet
from standins import direct_replicas
from standins import fault_proxy
from tests.failures import direct_runs

ENTRIES = 3
ENGINES = 3
DESKS = 4
CALLERS = 24
OTHER_SERVICE = "other-desk"
SILENCE_S = 1.2
GAP_S = 0.3
CONFIG_INTERVAL_S = 1.1
FAULT_S = 12.0


class Surroundings:
    """Callers' view of the fleet; implements `callers.Surroundings`."""

    def __init__(self, fleet: direct_fleet.Fleet) -> None:
        self._hosts = fleet.entry_hosts

    def now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1_000.0

    def key(self, rng: random.Random) -> str:
        return direct_documents.KEY

    async def entries(self, rng: random.Random) -> list[str]:
        return [f"entry-{n}" for n in range(ENTRIES)]

    def lifetime(self, entry: str) -> int:
        return 0

    def address(self, entry: str) -> tuple[str, int]:
        number = int(entry.removeprefix("entry-"))
        return self._hosts[number], direct_fleet.CALLERS_PORT


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a scenario with proxies before engines and plain replicas."""
    return direct_runs.runner(
        tmp_path, ENTRIES, ENGINES, DESKS, group=64, proxied=True
    )


def publish(fleet: direct_fleet.Fleet, version: int) -> None:
    """Changes timeouts, the service of one route, and the idle timeout."""
    config = direct_documents.configuration(fleet.origin_address, version)
    services, routes = config["services"], config["route_table"]
    assert isinstance(services, list)
    assert isinstance(routes, list)
    services.append({"name": OTHER_SERVICE, "max_conns": 64})
    _, stock, chat = routes
    if version % 2:
        stock["service"] = OTHER_SERVICE
        chat["timeout_ms"] = 5_000
        config["limits"] = {"idle_timeout_ms": 1_000}
    fleet.store.put("op/config", config)


async def change_configurations(fleet: direct_fleet.Fleet) -> None:
    for version in itertools.count(2):
        publish(fleet, version)
        if version == 6:
            model = direct_documents.MODEL
            target = {"model_name": model, "version": 2}
            fleet.store.put(f"op/version/{model}", target)
        await asyncio.sleep(CONFIG_INTERVAL_S)


async def silence_replicas(fleet: direct_fleet.Fleet, at_once: int) -> None:
    """Holds back what replicas send, or what they receive as well."""
    turns = itertools.cycle([n for n in fleet.proxies if ":" not in n])
    faults = (fault_proxy.Fault.CUT, fault_proxy.Fault.CUT_TO_CLIENT)
    for fault in itertools.cycle(faults):
        silent = [fleet.proxies[next(turns)] for _ in range(at_once)]
        for proxy in silent:
            proxy.set_fault(fault)
        await asyncio.sleep(SILENCE_S)
        for proxy in silent:
            proxy.set_fault(fault_proxy.Fault.NONE)
        await asyncio.sleep(GAP_S)


def withdrawn_requests(fleet: direct_fleet.Fleet) -> set[str]:
    """Returns the ids of requests that a new version took from a replica.

    A replica with the older version must not begin them later. They end unless
    the retry budget allows another send and a replica with the newer version
    can take them. Requests that may have run anywhere else don't count.
    """
    losses = collections.defaultdict[str, set[str]](set)
    ends: dict[str, str] = {}
    for number in range(ENTRIES):
        for line in fleet.log(f"entry-{number}").splitlines():
            fields = dict(re.findall(r"(\w+)=(\S+)", line))
            event = fields.get("event")
            if event == "attempt_failed" and fields["ran"] != "no":
                losses[fields["request"]].add(fields["kind"])
            elif event == "request_failed":
                end = f"{fields['kind']} {fields['not_retried']}"
                ends[fields["request"]] = end
    allowed = {"version_changed retry_budget", "no_upstream None"}
    return {
        request
        for request, end in ends.items()
        if losses[request] == {"version_changed"} and end in allowed
    }


def is_answered(call: promises.Call, withdrawn: set[str]) -> bool:
    """Returns whether a call ended with an answer or a refusal."""
    if call.ending is not promises.CallEnding.ANSWERED:
        return False
    if call.status in {429, 503}:
        return call.retry_after
    if call.status == 502:
        is_stream = call.kind is promises.CallKind.STREAM
        told = call.whole and b'"ran":"unknown"' in call.body
        return is_stream and told and call.request_id in withdrawn
    if call.kind is promises.CallKind.STREAM:
        expected = list(range(1, direct_replicas.EVENTS + 1))
        return call.status == 200 and call.events == expected
    return call.status == 200 and call.body == call.request_id.encode()


@pytest.mark.parametrize("at_once", [1, ENGINES + DESKS])
def test_requests_at_silent_replicas_end_with_an_answer_or_a_refusal(
    run_fleet: direct_runs.RunFleet, at_once: int
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        for desk in fleet.desks[DESKS // 2 :]:
            desk.service = OTHER_SERVICE
            desk.register()
        around = Surroundings(fleet)
        group = [callers.Caller(f"c{n}", 1, around) for n in range(CALLERS)]
        changes = asyncio.create_task(change_configurations(fleet))
        silences = asyncio.create_task(silence_replicas(fleet, at_once))
        end_ms = around.now_ms() + FAULT_S * 1_000.0

        async def send(caller: callers.Caller) -> None:
            while around.now_ms() < end_ms:
                await caller.call()

        await asyncio.gather(*(send(caller) for caller in group))
        for task in (changes, silences):
            task.cancel()
        calls = [call for caller in group for call in caller.calls]
        assert len(calls) > 20 * CALLERS
        withdrawn = withdrawn_requests(fleet)
        assert [c for c in calls if not is_answered(c, withdrawn)] == []
        runs = collections.Counter[str]()
        for desk in fleet.desks:
            runs.update(desk.runs)
        orders = [c for c in calls if c.kind is promises.CallKind.ORDER]
        assert all(runs[call.request_id] <= 1 for call in orders)
        for host in fleet.entry_hosts:
            metrics = (await fleet.metrics(host)).decode()
            reasons = re.findall(r'unanswered.*reason="(\w+)"', metrics)
            assert set(reasons) <= {"caller_left"}

    run_fleet(scenario)
