"""Clients of the platform's services over HTTP."""

from __future__ import annotations

import ipaddress
from typing import TypeVar

import msgspec

from marlramp import decoding
from marlramp import ids
from marlramp import logs
from marlramp.platform import clients
from marlramp.protocol import messages
from marlramp.shell import http

READ_TIMEOUT_MS = 2_000.0
CHUNK_TIMEOUT_MS = 30_000.0
WATCH_MARGIN_MS = 2_000.0
_OK = 200
_DETAIL_LENGTH_MAX = 200

Value = TypeVar("Value")


class HttpConfigurationClient:
    """Configuration service over HTTP."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        """Uses the service at `url`."""
        self._client = client
        self._url = url.rstrip("/")
        self._decoder = msgspec.json.Decoder(_PublishedDocument)

    async def read(self, keys: list[str]) -> list[messages.Document]:
        """Returns the current documents of `keys` that exist."""
        url = f"{self._url}/v1/documents?keys={','.join(keys)}"
        return await self._get(url, READ_TIMEOUT_MS)

    async def watch(
        self, keys: list[str], after: int, wait_ms: float
    ) -> list[messages.Document]:
        """Waits for documents with a revision above `after`."""
        url = (
            f"{self._url}/v1/watch?keys={','.join(keys)}"
            f"&after={after}&wait_ms={int(wait_ms)}"
        )
        return await self._get(url, wait_ms + WATCH_MARGIN_MS)

    async def _get(
        self, url: str, timeout_ms: float
    ) -> list[messages.Document]:
        body = await _get(self._client, url, timeout_ms)
        published = _decode_entries(self._decoder, body)
        return [
            messages.Document(document.key, document.revision, document.text)
            for document in published
        ]


class _PublishedDocument(msgspec.Struct):
    key: str
    revision: int
    text: str


class HttpVmListClient:
    """VM list over HTTP."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        """Uses the VM list at `url`."""
        self._client = client
        self._url = url.rstrip("/")
        self._decoder = msgspec.json.Decoder(clients.ListedVm)

    async def read(self) -> list[clients.ListedVm]:
        """Returns the VMs in the list."""
        body = await _get(self._client, f"{self._url}/v1/vms", READ_TIMEOUT_MS)
        listed = _decode_entries(self._decoder, body)
        return [vm for vm in listed if _has_ip_address(vm)]


class HttpWeightSource:
    """Origin of weights or weight store over HTTP."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        """Uses the source at `url`."""
        self._client = client
        self._url = url.rstrip("/")

    async def manifest(self, digest: ids.Digest) -> bytes:
        """Returns a manifest, not yet verified."""
        url = f"{self._url}/v1/manifests/{digest}"
        return await _get(self._client, url, READ_TIMEOUT_MS)

    async def chunk(self, digest: str) -> bytes:
        """Returns a chunk, not yet verified."""
        url = f"{self._url}/v1/chunks/{digest}"
        return await _get(
            self._client, url, CHUNK_TIMEOUT_MS, messages.CHUNK_BYTES_MAX
        )


def _decode_entries(
    decoder: msgspec.json.Decoder[Value], body: bytes
) -> list[Value]:
    """Returns the entries of an array; logs those that can't be used.

    Another writer's odd entry must not hide the others.

    Raises:
      PlatformError: if the answer is no array.
    """
    entries: list[Value] = []
    try:
        for data in decoding.json_entries(body):
            try:
                entries.append(decoder.decode(data))
            except decoding.MALFORMED as error:
                _log_refusal(str(error))
    except ValueError as error:
        raise clients.PlatformError(f"malformed answer: {error}") from error
    return entries


def _has_ip_address(vm: clients.ListedVm) -> bool:
    try:
        ipaddress.IPv4Address(vm.host)
    except ValueError as error:
        _log_refusal(str(error))
        return False
    return True


def _log_refusal(detail: str) -> None:
    logs.log("entry_refused", detail=detail[:_DETAIL_LENGTH_MAX])


async def _get(
    client: http.HttpClient,
    url: str,
    timeout_ms: float,
    body_bytes_max: int = http.BODY_BYTES_MAX,
) -> bytes:
    try:
        reply = await client.request(
            "GET", url, timeout_ms=timeout_ms, body_bytes_max=body_bytes_max
        )
    except http.HttpError as error:
        raise clients.PlatformError(str(error)) from error
    if reply.status != _OK:
        raise clients.PlatformError(
            f"status {reply.status}", reply.retry_after_ms
        )
    return reply.body
