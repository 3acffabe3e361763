"""Recognises a request that comes again under another id.

What a replica runs is decided by the method, host, path, query, customer and
body. Ids, deadlines and other headers differ between attempts of one caller.
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
      host: host asked for, in lower case and without a port.
      target: path and query as sent.
      customer_id: its customer, None if it has none.
      body: the whole body.
    """
    digest = blake3.blake3()
    for part in (
        method.encode(),
        host.encode(),
        target,
        (customer_id or "").encode(),
    ):
        # A length before each part keeps two splits of the same bytes apart.
        digest.update(_LENGTH.pack(len(part)))
        digest.update(part)
    digest.update(body)
    return ids.Fingerprint(digest.digest(length=FINGERPRINT_BYTES).hex())
