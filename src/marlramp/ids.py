"""Identifiers shared by all parts of the system."""

from __future__ import annotations

from typing import NewType

KEY_LENGTH_MAX = 1_024
"""Longest id or address, in characters, that is accepted from other processes
and kept as a key."""

VmId = NewType("VmId", str)
DataCentreId = NewType("DataCentreId", str)
ServiceId = NewType("ServiceId", str)
CustomerId = NewType("CustomerId", str)
RequestId = NewType("RequestId", str)
VersionId = NewType("VersionId", str)
Fingerprint = NewType("Fingerprint", str)
"""Identifies a possible cause of a crash, equal for all requests that share it:
the content of a request as 16 hexadecimal digits, or a `PartFingerprint`."""

PartFingerprint = NewType("PartFingerprint", Fingerprint)
"""Part of prompts for one model, written as "MODEL/ID"."""

CrashId = NewType("CrashId", str)
"""One crash of a replica, written as "ID@BORN"; BORN is the time at which the
replica had started, in Unix milliseconds."""

Incarnation = NewType("Incarnation", int)
"""Random number that an agent generates each time it starts."""

GrantNumber = NewType("GrantNumber", int)
"""Number of a grant, increasing within one incarnation of one agent."""

ChunkIndex = NewType("ChunkIndex", int)
Digest = NewType("Digest", str)
"""BLAKE3 digest as 64 hexadecimal digits."""
