"""The contents of request and answer headers that the direct path uses.

The platform implements `CallCodec`, so that the direct path does not depend on
the names of its headers.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from marlramp import ids
from marlramp.shell import http1_client
from marlramp.shell import http1_server

SHARED_PARTS_MAX = 16
"""Most parts of a prompt that are read of one request."""


class RequestInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's headers say of its request.

    Attributes:
      request_id: the caller's id of this attempt, "" if there is none.
      host: requested host, in lower case and without a port.
      path: path without the query.
      authorization: credentials as sent.
      wait_ms: how long the caller waits, None if it does not say.
      prompt_tokens: number of tokens in the prompt, 0 for plain requests.
      output_tokens_max: largest number of tokens to generate.
      output_tokens_hint: the caller's estimate of the number of generated
        tokens, 0 if there is none.
      shared_parts: ids of the parts of the prompt that the caller names, in
        order, without the last one, which is the request's own; at most
        `SHARED_PARTS_MAX`. Empty if the caller names none or the header can't
        be parsed.
    """

    request_id: ids.RequestId
    host: str
    path: str
    authorization: str
    wait_ms: float | None
    prompt_tokens: int
    output_tokens_max: int
    output_tokens_hint: int
    shared_parts: tuple[str, ...] = ()


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry adds to a request that it sends to a replica.

    Attributes:
      replica_id: the only replica that may run the request.
      wait_ms: how long the replica may work on the request.
      customer_id: the customer, None if there is none.
      weights: version that the request must begin on, None for a plain
        service.
      priority: priority in the replica's queue, 0 for the most urgent, None
        for the default.
      resume_after: id of the last event that this entry forwarded to the
        caller, "" if there is none.
    """

    replica_id: str
    wait_ms: float
    customer_id: ids.CustomerId | None
    weights: int | None
    priority: int | None
    resume_after: str


class ReplicaLoad(msgspec.Struct, frozen=True):
    """Load that a replica reports with its answers.

    Attributes:
      running: number of requests that run.
      waiting: number of requests that wait.
    """

    running: int
    waiting: int


class ReplicaAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of a replica's answer says.

    Attributes:
      status: HTTP status code.
      mine: whether the answer belongs to the request that was sent.
      signed: whether the answer carries the replica's signature.
      not_run: whether the replica states that it did not run the request.
      encoded: whether the body is encoded, and so not the replica's own bytes.
      weights: version of the weights, None if the answer does not say.
      load: the replica's load, None if the answer does not say.
      headers: headers that are forwarded to the caller.
      limit_per_s: rate limit that the replica announces, in requests per
        second from all callers together; None for none.
      limit_unreadable: value of a rate limit that can't be parsed, "" if there
        is none.
      retry_after_ms: time after which the replica may be sent requests again,
        None if the answer does not say.
      retry_after_unreadable: value of a retry time that can't be parsed, "" if
        there is none.
      leaving: whether the replica announces that it leaves.
      cold_left_ms: how much longer the replica is cold, None if the answer does
        not say.
      cold_unreadable: value of that time that can't be parsed, "" if there is
        none.
      delimited: whether the end of the body is marked, so that it is told from
        a crash of the replica.
      proxied: whether a proxy passed the answer on, so that its connection says
        nothing about the replica.
    """

    status: int
    matches_request: bool
    signed: bool
    not_run: bool
    encoded: bool
    weights: int | None
    load: ReplicaLoad | None
    headers: list[tuple[bytes, bytes]]
    limit_per_s: float | None = None
    limit_unreadable: str = ""
    retry_after_ms: float | None = None
    retry_after_unreadable: str = ""
    leaving: bool = False
    cold_left_ms: float | None = None
    cold_unreadable: str = ""
    delimited: bool = True
    proxied: bool = False


class CallCodec(Protocol):
    """Reads and writes the platform's request headers."""

    def read(self, request: http1_server.Request) -> RequestInfo:
        """Returns what the headers of a caller's request say.

        Raises:
          CallError: if the headers are malformed.
        """
        ...

    def head(self, request: http1_server.Request, dispatch: Dispatch) -> bytes:
        """Returns the head of a request to a replica, encoded."""
        ...

    def answer(
        self, head: http1_client.ResponseHead, call: RequestInfo
    ) -> ReplicaAnswer:
        """Returns what the head of a replica's answer to a call says."""
        ...
