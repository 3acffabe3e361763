"""Odd entries in what other programs write or send."""

from __future__ import annotations

import asyncio
import json

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp import decoding
from marlramp.platform import clients
from marlramp.platform import http_clients
from marlramp.platform import replica_api
from marlramp.platform import store
from marlramp.protocol import codec
from marlramp.protocol import messages
from marlramp.settings import node
from marlramp.shell import http
from marlramp.shell import http1_call
from standins import raw_http

NESTED = "[" * 200_000 + "]" * 200_000
VM = {
    "vm_id": "vm-1",
    "role": "upstream",
    "data_centre": "dc-1",
    "service": "s",
    "host": "127.0.0.1",
    "port": 7_700,
    "http_port": 0,
    "state": "live",
}


class Body:
    """Answers each call with the same body."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def serve(self, peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            await peer.answer(request, 200, self.body)


def read_vms(body: bytes) -> list[clients.ListedVm]:
    async def main() -> list[clients.ListedVm]:
        async with raw_http.ScriptedServer(Body(body).serve) as server:
            url = f"http://{server.address}"
            client = http.HttpClient()
            return await http_clients.HttpVmListClient(client, url).read()

    return asyncio.run(main())


@pytest.mark.parametrize(
    "odd",
    [
        NESTED,
        json.dumps(VM | {"port": 70_000}),
        json.dumps(VM | {"port": 0}),
        json.dumps(VM | {"port": 10**4_500 % 10**4_000 + 10**3_999}),
        json.dumps(VM | {"host": "a\u0000b"}),
        json.dumps(VM | {"state": "gone"}),
        json.dumps(VM | {"vm_id": "\ud800"}),
        '{"vm_id":1e999}',
        "null",
    ],
    ids=lambda odd: odd[:24],
)
def test_odd_entry_of_the_vm_list_hides_no_other(odd: str) -> None:
    """Guards against processes that stop following the list."""
    entries = [json.dumps(VM), odd, json.dumps(VM | {"vm_id": "vm-2"})]
    read = read_vms(f"[{','.join(entries)}]".encode())
    assert [vm.vm_id for vm in read] == ["vm-1", "vm-2"]


@pytest.mark.parametrize("body", [b"", b"{}", b"[[]", b'["]', b"null"])
def test_vm_list_that_is_no_array_is_refused(body: bytes) -> None:
    with pytest.raises(clients.PlatformError):
        read_vms(body)


@pytest.mark.parametrize(
    "entries", [[], [1], ["a,b", '\\"]'], [[1, [2, 3]], {"a": [1]}, "x"]]
)
def test_array_is_split_into_its_entries(entries: list[object]) -> None:
    data = json.dumps(entries).encode()
    split = [json.loads(entry) for entry in decoding.json_entries(data)]
    assert split == entries


def test_deeply_nested_answers_are_malformed() -> None:
    """Guards against a `RecursionError` that ends the reading task."""

    async def main() -> None:
        body = f'{{"entries":[{NESTED}],"at":1,"has_more":false}}'.encode()
        async with raw_http.ScriptedServer(Body(body).serve) as server:
            caller = http1_call.HttpCaller(clock.SystemClock())
            reader = store.StoreClient(
                caller, server.address, {}, counters.Counters()
            )
            with pytest.raises(clients.PlatformError):
                await reader.read_all()
            address = node.Address.parse(server.address)
            with pytest.raises(clients.PlatformError):
                await replica_api.ReplicaApi(caller, address).report()

    asyncio.run(main())


def test_deeply_nested_message_of_a_peer_is_malformed() -> None:
    prefix = bytes([messages.PROTOCOL_VERSION])
    nested = prefix + b"\x91" * 100_000 + b"\x90"
    with pytest.raises(codec.DecodeError):
        codec.member_decoder().decode(nested)
    assert issubclass(msgspec.DecodeError, decoding.MALFORMED)
