"""Digests of a set that two processes compare bucket by bucket.

The digest of a bucket is the XOR of the hashes of its elements, so that adding
or removing an element updates it at once. Two processes whose sets differ
exchange only the buckets that differ.
"""

from __future__ import annotations

import blake3

_DIGEST_BYTES = 8
_DIGEST_MASK = (1 << 8 * _DIGEST_BYTES) - 1


class BucketDigests:
    """Digest of each bucket of a set, and a joint digest of all buckets."""

    def __init__(self, buckets: int) -> None:
        """Starts with an empty set.

        Args:
          buckets: number of buckets, at most 256.
        """
        self._buckets = buckets
        self._digests = [0] * buckets

    def bucket_of(self, key: str) -> int:
        """Returns the bucket that holds the elements of a key."""
        return blake3.blake3(key.encode()).digest(length=1)[0] % self._buckets

    def toggle(self, key: str, element: str) -> None:
        """Adds an element, or removes one that was added."""
        digest = blake3.blake3(element.encode()).digest(length=_DIGEST_BYTES)
        self._digests[self.bucket_of(key)] ^= int.from_bytes(digest)

    def all(self) -> list[int]:
        """Returns the digest of each bucket."""
        return list(self._digests)

    def joined(self) -> int:
        """Returns one digest of the whole set, 0 if the set is empty."""
        joined = 0
        for number, digest in enumerate(self._digests):
            joined ^= digest * (2 * number + 1)
        return joined & _DIGEST_MASK

    def differing(self, digests: list[int]) -> list[int]:
        """Returns the buckets whose digests differ from another set's."""
        pairs = zip(self._digests, digests, strict=False)
        return [n for n, (own, other) in enumerate(pairs) if own != other]
