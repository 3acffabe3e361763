"""Malformed and unauthorized input on the ports of an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import zmq

from marlramp import counters
from marlramp.protocol import messages
from marlramp.shell import links
from tests.failures import conftest


def _connect(
    b: conftest.Bench, keys: links.Keys
) -> tuple[links.LinkContext, links.Connector]:
    context = links.LinkContext(keys, counters.Counters())
    port = int(str(b.fleet.vms["entry-0"]["port"]))
    identity = links.LinkId("stranger", 1)
    return context, links.Connector(context, identity, "127.0.0.1", port)


def test_messages_of_a_peer_without_the_fleet_key_are_ignored(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=1, replicas=1, plain=0)
        public, secret = zmq.curve_keypair()
        keys = msgspec.structs.replace(
            b.fleet.link_keys(), client_public=public, client_secret=secret
        )
        context, connector = _connect(b, keys)
        for _ in range(10):
            connector.send(b"\x01garbage")
            await asyncio.sleep(0.05)
        context.close()
        name = counters.CounterName.MESSAGES_DROPPED.value
        assert await b.counter("entry-0", name, "malformed") == 0
        assert (await b.complete()).whole

    bench(scenario)


def test_malformed_messages_are_counted_and_cause_no_failure(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=1, replicas=1, plain=0)
        context, connector = _connect(b, b.fleet.link_keys())
        for data in (b"", b"\x01", b"\x02x", b"\x01" + b"\xc1" * 50):
            connector.send(data)
        name = counters.CounterName.MESSAGES_DROPPED.value

        async def counted() -> bool:
            return await b.counter("entry-0", name, "malformed") >= 2

        await b.until(counted, 3_000)
        connector.send(b"\x01" * (messages.BODY_BYTES_MAX * 3))
        await asyncio.sleep(0.3)
        context.close()
        assert (await b.complete()).whole

    bench(scenario)


def test_invalid_requests_get_specific_errors(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=1, replicas=1, plain=0)
        url = b.url("entry-0")
        good = {"marlramp-customer": conftest.CUSTOMER}
        body = b'{"model": "pool", "prompt": "x"}'
        cases: list[tuple[dict[str, str], bytes, int, str]] = [
            ({}, body, 400, "invalid_request"),
            ({"marlramp-customer": "who"}, body, 403, "unknown_customer"),
            (good, b"{", 400, "invalid_request"),
            (good, b'{"model": "no"}', 404, "unknown_service"),
            (
                good,
                b'{"model": "pool", "max_tokens": 0}',
                400,
                "invalid_request",
            ),
            (
                {**good, "marlramp-timeout-ms": "-1"},
                body,
                400,
                "invalid_request",
            ),
            (
                {**good, "marlramp-priority": "top"},
                body,
                400,
                "invalid_request",
            ),
            (
                {**good, "marlramp-run-token": "x"},
                body,
                400,
                "run_token_invalid",
            ),
            (good, b"x" * (messages.BODY_BYTES_MAX + 1), 413, "body_too_large"),
        ]
        for headers, sent, status, kind in cases:
            reply = await b.fleet.client.request(
                "POST",
                f"{url}/v1/completions",
                body=sent,
                headers=headers,
                timeout_ms=5_000.0,
            )
            error = msgspec.json.decode(reply.body)["error"]
            assert (reply.status, error["kind"]) == (status, kind)
            assert error["message"]
        for key in ("", "Bearer wrong"):
            reply = await b.fleet.client.request(
                "GET",
                f"{url}/admin/v1/status",
                headers={"authorization": key},
                timeout_ms=5_000.0,
            )
            assert reply.status == 401

    bench(scenario)


def test_call_without_an_upstream_is_refused_at_once(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=1, replicas=1, plain=0)
        b.fleet.agents["vm-0"].kill()
        await asyncio.sleep(3.0)
        started_ms = b.time.now_ms()
        result = await b.complete(timeout_ms=9_000.0)
        assert result.kind == "no_upstream"
        assert result.ran == "no"
        assert b.time.now_ms() - started_ms < 500

    bench(scenario)
