"""Client of an entry's administration API, shared by the commands."""

from __future__ import annotations

import asyncio
import os
from typing import Annotated
from typing import TypeVar

import cyclopts
import msgspec

from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.shell import http

ResultT = TypeVar("ResultT")

KEY_VARIABLE = "MARLRAMP_ADMIN_KEY"
TIMEOUT_MS = 5_000.0
_OK = 200
_UNAUTHORIZED = 401

EntryUrl = Annotated[
    str, cyclopts.Parameter(help="Address of an entry, http://IP:PORT.")
]
Json = Annotated[
    bool, cyclopts.Parameter(negative="", help="Print JSON, for scripts.")
]


class CommandError(Exception):
    """Ends a command with an exit code other than 0."""

    def __init__(self, code: exit_codes.ExitCode, detail: str) -> None:
        """Stores the exit code and the message to print."""
        super().__init__(detail)
        self.code = code


def read(entry: str, path: str, result: type[ResultT]) -> ResultT:
    """Returns a decoded document from the administration API.

    Raises:
      CommandError: if the entry does not respond, or rejects the request.
    """
    body = _call("GET", entry, path, b"")
    try:
        return msgspec.json.decode(body, type=result)
    except msgspec.DecodeError as error:
        raise CommandError(
            exit_codes.ExitCode.UNREACHABLE, f"malformed response: {error}"
        ) from error


def order(entry: str, path: str, body: object) -> bytes:
    """Sends a POST request and returns the response body."""
    return _call("POST", entry, path, msgspec.json.encode(body))


def finish(error: CommandError) -> int:
    """Prints why a command failed and returns its exit code."""
    output.print_error(str(error))
    return int(error.code)


def _call(method: str, entry: str, path: str, body: bytes) -> bytes:
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise CommandError(
            exit_codes.ExitCode.UNAUTHORIZED,
            f"set {KEY_VARIABLE} to the key of the administration API",
        )
    reply = asyncio.run(_request(method, entry, path, body, key))
    if reply.status == _UNAUTHORIZED:
        raise CommandError(
            exit_codes.ExitCode.UNAUTHORIZED, "the entry rejected the key"
        )
    if reply.status != _OK:
        raise CommandError(
            exit_codes.ExitCode.NOT_HELD,
            f"{path}: {reply.body.decode(errors='replace')}",
        )
    return reply.body


async def _request(
    method: str, entry: str, path: str, body: bytes, key: str
) -> http.Reply:
    client = http.HttpClient()
    try:
        return await client.request(
            method,
            f"{entry.rstrip('/')}/admin/v1/{path}",
            body=body,
            headers={"authorization": f"Bearer {key}"},
            timeout_ms=TIMEOUT_MS,
        )
    except http.HttpError as error:
        raise CommandError(
            exit_codes.ExitCode.UNREACHABLE, f"{entry}: {error}"
        ) from error
    finally:
        await client.close()
