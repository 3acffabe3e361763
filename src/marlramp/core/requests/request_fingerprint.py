"""Recognises a request that is sent again under another id.

The method, host, path, query, customer and body determine what a replica runs.
Ids, deadlines and other headers differ between the attempts of one caller.
"""

from __future__ import annotations

import struct

import blake3

from marlramp import ids

FINGERPRINT_BYTES = 8

_LENGTH = struct.Struct("<Q")


def fingerprint(
    method: str,
    host: str,
    target: bytes,
    customer_id: ids.CustomerId | None,
    body: bytes,
) -> ids.Fingerprint:
    """Returns the fingerprint of a request.

    Args:
      method: HTTP method.
      host: requested host, in lower case and without a port.
      target: path and query as sent.
      customer_id: the request's customer, None if it has none.
      body: the complete body.

    Returns:
      `FINGERPRINT_BYTES` bytes in hexadecimal.
    """
    digest = blake3.blake3()
    for part in (
        method.encode(),
        host.encode(),
        target,
        (customer_id or "").encode(),
    ):
        # The length prefix makes bytes that move between parts change the hash.
        digest.update(_LENGTH.pack(len(part)))
        digest.update(part)
    digest.update(body)
    return ids.Fingerprint(digest.digest(length=FINGERPRINT_BYTES).hex())


def upstream_fingerprint(
    method: str, path: str, body: bytes
) -> ids.Fingerprint:
    """Returns the fingerprint of a request as its upstream receives it.

    Args:
      method: HTTP method.
      path: path at the upstream.
      body: the complete body.
    """
    return fingerprint(method, "", path.encode(), None, body)
