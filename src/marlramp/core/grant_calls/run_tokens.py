"""Run tokens: reserved grants that callers carry from entry to entry.

A token names the agent, its incarnation and the grant. It is signed with a key
that all entries share, so that a caller cannot forge a token for a grant that
it did not receive. Entries keep no state for a token.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import msgspec

from marlramp import errors
from marlramp import ids

_SIGNATURE_BYTES = 16


class RunToken(msgspec.Struct, frozen=True, array_like=True):
    """Content of a run token.

    Attributes:
      vm_id: the agent's VM.
      incarnation: the agent's incarnation.
      number: number of the reserved grant.
      service_id: the service that the token is valid for.
      customer_id: the customer that the token was issued to.
    """

    vm_id: str
    incarnation: int
    number: int
    service_id: str
    customer_id: ids.CustomerId


class TokenSigner:
    """Signs and verifies run tokens."""

    def __init__(self, key: str) -> None:
        """Creates a signer.

        Args:
          key: the secret that all entries share.
        """
        self._key = key.encode()

    def encode(self, token: RunToken) -> str:
        """Returns the signed token as text for a header."""
        payload = msgspec.msgpack.encode(token)
        signed = self._signature(payload) + payload
        return base64.urlsafe_b64encode(signed).decode().rstrip("=")

    def decode(self, text: str) -> RunToken:
        """Verifies and decodes the token in a header.

        Raises:
          errors.CallError: if the text is malformed or its signature is not
            valid for this fleet's key.
        """
        try:
            padded = text + "=" * (-len(text) % 4)
            signed = base64.urlsafe_b64decode(padded.encode("ascii"))
            payload = signed[_SIGNATURE_BYTES:]
            expected = self._signature(payload)
            if not hmac.compare_digest(signed[:_SIGNATURE_BYTES], expected):
                raise errors.CallError(errors.ErrorKind.RUN_TOKEN_INVALID)
            return msgspec.msgpack.decode(payload, type=RunToken)
        except (
            binascii.Error,
            msgspec.DecodeError,
            UnicodeEncodeError,
            ValueError,
        ) as error:
            raise errors.CallError(
                errors.ErrorKind.RUN_TOKEN_INVALID
            ) from error

    def _signature(self, payload: bytes) -> bytes:
        mac = hmac.new(self._key, payload, hashlib.sha256)
        return mac.digest()[:_SIGNATURE_BYTES]
