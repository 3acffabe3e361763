"""Manifests, which list the chunks of one version of a model or adapter."""

from __future__ import annotations

from collections.abc import Callable
import hashlib

import blake3
import msgspec

from marlramp import ids

CHUNKS_MAX = 65_536
"""Maximum number of chunks in one manifest."""

DOUBTED_MISMATCHES = 2
"""Mismatches of one chunk after which its digest is doubted: bytes that arrive
corrupt rarely do so twice in a row."""


class ManifestError(Exception):
    """A manifest that cannot be used."""


class Manifest(msgspec.Struct, frozen=True):
    """Content of one version.

    Attributes:
      model: name of the model.
      version: version that answers of the model are labelled with.
      chunk_bytes: size of every chunk but the last, in bytes.
      total_bytes: size of the complete content, in bytes.
      chunks: digest of each chunk, in the order of the content.
      whole: digest of the complete content.
    """

    model: str
    version: str
    chunk_bytes: int
    total_bytes: int
    chunks: list[str]
    whole: str

    def chunk_size(self, index: int) -> int:
        """Returns the size of one chunk in bytes."""
        if index == len(self.chunks) - 1:
            return self.total_bytes - index * self.chunk_bytes
        return self.chunk_bytes


_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(Manifest)


def digest_of(data: bytes) -> ids.Digest:
    """Returns the BLAKE3 digest of `data`."""
    return ids.Digest(blake3.blake3(data).hexdigest())


def sha256_of(data: bytes) -> ids.Digest:
    """Returns the SHA-256 digest of `data`, for platforms that publish it."""
    return ids.Digest(hashlib.sha256(data).hexdigest())


def encode(manifest: Manifest) -> bytes:
    """Returns the encoded manifest, whose digest identifies it."""
    return _encoder.encode(manifest)


def decode(data: bytes, expected: ids.Digest) -> Manifest:
    """Returns the manifest that `data` encodes.

    Raises:
      ManifestError: if the digest of `data` differs from `expected`, if `data`
        is malformed, or if its sizes and its chunk count disagree.
    """
    if digest_of(data) != expected:
        raise ManifestError(
            f"the digest is {digest_of(data)}, the published one is {expected}"
        )
    return decode_unverified(data)


def decode_unverified(data: bytes) -> Manifest:
    """Returns the manifest that `data` encodes, whatever its digest.

    Raises:
      ManifestError: if `data` is malformed, or if its sizes and its chunk count
        disagree.
    """
    try:
        manifest = _decoder.decode(data)
    except (ValueError, RecursionError) as error:
        raise ManifestError(f"malformed: {error}") from error
    if manifest.chunk_bytes <= 0 or manifest.total_bytes <= 0:
        raise ManifestError(
            f"sizes must be positive: {manifest.chunk_bytes} bytes per chunk, "
            f"{manifest.total_bytes} bytes in total"
        )
    count = -(-manifest.total_bytes // manifest.chunk_bytes)
    if count != len(manifest.chunks) or count > CHUNKS_MAX:
        raise ManifestError(
            f"{len(manifest.chunks)} chunks are listed, {count} match the "
            f"sizes, at most {CHUNKS_MAX} are allowed"
        )
    return manifest


def build(model: str, version: str, data: bytes, chunk_bytes: int) -> Manifest:
    """Returns the manifest of `data`, split into chunks of `chunk_bytes`."""
    chunks = [
        digest_of(data[start : start + chunk_bytes])
        for start in range(0, len(data), chunk_bytes)
    ]
    return Manifest(
        model, version, chunk_bytes, len(data), list(chunks), digest_of(data)
    )


class ChunkSet:
    """Verified chunks of one manifest that this VM holds."""

    def __init__(
        self,
        manifest: Manifest,
        digest: Callable[[bytes], str] = digest_of,
    ) -> None:
        """Starts without chunks.

        Args:
          manifest: the manifest to collect chunks for.
          digest: function that computes the digest that a chunk is checked by.
        """
        self.manifest = manifest
        self._digest = digest
        self._chunks: dict[int, bytes] = {}
        self._mismatches: dict[int, int] = {}

    @property
    def held(self) -> set[int]:
        """Indexes of verified chunks."""
        return set(self._chunks)

    @property
    def complete(self) -> bool:
        """Whether every chunk is held and verified."""
        return len(self._chunks) == len(self.manifest.chunks)

    @property
    def doubted(self) -> set[int]:
        """Indexes of chunks whose digests may be wrong."""
        return {
            index
            for index, count in self._mismatches.items()
            if count >= DOUBTED_MISMATCHES
        }

    def get(self, index: int) -> bytes | None:
        """Returns a verified chunk, or None if it is not held."""
        return self._chunks.get(index)

    def matches(self, index: int, data: bytes) -> bool:
        """Returns whether `data` is the chunk at `index`."""
        return self._digest(data) == self.manifest.chunks[index]

    def add(self, index: int, data: bytes) -> bool:
        """Stores a chunk if its digest matches.

        Returns:
          Whether the index is valid and the digest of the chunk matches.
        """
        if not 0 <= index < len(self.manifest.chunks):
            return False
        if not self.matches(index, data):
            self._mismatches[index] = self._mismatches.get(index, 0) + 1
            return False
        self._mismatches.pop(index, None)
        self._chunks[index] = data
        return True

    def replace_doubted(self, found: Manifest, *, confirms: bool) -> set[int]:
        """Replaces doubted digests by those of another copy of the manifest.

        Digests that a chunk has matched are kept.

        Args:
          found: the other copy.
          confirms: whether a digest that is equal in the copy is right.

        Returns:
          The indexes of the digests that were wrong.
        """
        own = self.manifest
        if (found.chunk_bytes, found.total_bytes) != (
            own.chunk_bytes,
            own.total_bytes,
        ):
            return set()
        chunks = list(own.chunks)
        replaced = set()
        for index in self.doubted:
            if found.chunks[index] != chunks[index]:
                chunks[index] = found.chunks[index]
                replaced.add(index)
            elif not confirms:
                continue
            del self._mismatches[index]
        self.manifest = msgspec.structs.replace(own, chunks=chunks)
        return replaced

    def common_indexes(self, other: ChunkSet) -> set[int]:
        """Returns the indexes at which both manifests list the same chunk."""
        pairs = zip(self.manifest.chunks, other.manifest.chunks, strict=False)
        return {
            index for index, (own, others) in enumerate(pairs) if own == others
        }

    def copy_common_chunks(self, other: ChunkSet) -> int:
        """Copies the verified chunks that both manifests list.

        Returns:
          The number of chunks that were not held before.
        """
        by_digest = {
            other.manifest.chunks[index]: data
            for index, data in other._chunks.items()
        }
        before = len(self._chunks)
        for index, digest in enumerate(self.manifest.chunks):
            if digest in by_digest:
                self._chunks[index] = by_digest[digest]
        return len(self._chunks) - before

    def verify_digest(self) -> bool:
        """Returns whether all chunks are held and match the total digest."""
        if not self.complete:
            return False
        hasher = blake3.blake3()
        for index in range(len(self.manifest.chunks)):
            hasher.update(self._chunks[index])
        return bool(hasher.hexdigest() == self.manifest.whole)
