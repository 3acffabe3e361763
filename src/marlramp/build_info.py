"""Identifies the code that a process runs, for its logs."""

from __future__ import annotations

import hashlib
import pathlib

_PACKAGE = pathlib.Path(__file__).parent
_DIGITS = 12


def source_digest(package: pathlib.Path = _PACKAGE) -> str:
    """Returns the first digits of the SHA-256 digest of a package's sources.

    Checkouts of one commit have the same digest, wherever they lie.

    Args:
      package: directory of the package.

    Returns:
      The digits, "unknown" if a source file cannot be read.
    """
    digest = hashlib.sha256()
    try:
        for file in sorted(package.rglob("*.py")):
            name = file.relative_to(package).as_posix()
            data = file.read_bytes()
            digest.update(f"{name}\0{len(data)}\0".encode())
            digest.update(data)
    except OSError:
        return "unknown"
    return digest.hexdigest()[:_DIGITS]
