"""What the direct path needs to know of a platform's request headers."""

from __future__ import annotations

from typing import Protocol

import msgspec

from marlramp import ids
from marlramp.shell import http1_client
from marlramp.shell import http1_server


class CallerCall(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller says of its request.

    Attributes:
      request_id: the caller's id of this attempt, "" if it gave none.
      host: host asked for, in lower case and without a port.
      path: path without query.
      authorization: credentials as sent.
      wait_ms: how long the caller will wait, None if it does not say.
      prompt_tokens: tokens of the prompt, 0 for plain requests.
      output_tokens_max: most tokens to be generated.
      output_tokens_hint: the caller's estimate of them, 0 without one.
    """

    request_id: ids.RequestId
    host: str
    path: str
    authorization: str
    wait_ms: float | None
    prompt_tokens: int
    output_tokens_max: int
    output_tokens_hint: int


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """What the system adds to a request for one replica.

    Attributes:
      replica_id: the only replica that may run it.
      wait_ms: how long the replica may work on it.
      customer_id: the customer, None if there is none.
      weights: the version it must begin on, None for a plain service.
      priority: rank in the replica's queue, 0 first, None for the default.
      resume_after: id of the last event that the caller has, "" for none
        beyond what the caller itself said.
    """

    replica_id: str
    wait_ms: float
    customer_id: ids.CustomerId | None
    weights: int | None
    priority: int | None
    resume_after: str


class ReplicaLoad(msgspec.Struct, frozen=True):
    """Load that a replica tells with its answers."""

    running: int
    waiting: int


class ReplicaAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of a replica's answer says.

    Attributes:
      status: HTTP status code.
      mine: whether the answer belongs to the request that was sent.
      signed: whether it bears the replica's proof.
      not_run: whether the replica vouches that it did not run the request.
      encoded: whether the body is not the replica's own bytes.
      weights: version of the weights, None if it does not say.
      load: the replica's load, None if it does not say.
      limit_per_s: requests a second that the replica takes from all callers
        together, None if it names no limit.
      limit_unreadable: a limit that names no rate, "" if there is none.
      retry_after_ms: time after which the replica is to be asked again, None if
        it names none.
      retry_after_unreadable: a value of it that names no time, "" if there is
        none.
      leaving: whether the replica says that it leaves.
      headers: what is passed on to the caller.
    """

    status: int
    mine: bool
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


class CallCodec(Protocol):
    """Reads and writes the platform's request headers."""

    def read(self, request: http1_server.Request) -> CallerCall:
        """Returns what a caller says.

        Raises:
          CallError: if the headers are malformed.
        """
        ...

    def head(self, request: http1_server.Request, dispatch: Dispatch) -> bytes:
        """Returns the head of the request to a replica."""
        ...

    def answer(
        self, head: http1_client.ResponseHead, call: CallerCall
    ) -> ReplicaAnswer:
        """Returns what the head of an answer says."""
        ...
