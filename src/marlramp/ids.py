"""Identifiers shared by all parts of the system."""

from __future__ import annotations

from typing import NewType

VmId = NewType("VmId", str)
DataCentreId = NewType("DataCentreId", str)
ServiceId = NewType("ServiceId", str)
CustomerId = NewType("CustomerId", str)
RequestId = NewType("RequestId", str)
VersionId = NewType("VersionId", str)
Fingerprint = NewType("Fingerprint", str)
"""Possible cause of a crash, the same for each request that has it: the content
of a request as 16 hexadecimal digits, or a `PartFingerprint`."""

PartFingerprint = NewType("PartFingerprint", Fingerprint)
"""Part of the prompts for one model, "MODEL/ID"."""

CrashId = NewType("CrashId", str)
"""End of one start of a replica, "ID@BORN" with the start in Unix ms."""

Incarnation = NewType("Incarnation", int)
"""Random number an agent draws at start; a restart gives a new one."""

GrantNumber = NewType("GrantNumber", int)
"""Number of a grant, rising within one incarnation of one agent."""

ChunkIndex = NewType("ChunkIndex", int)
Digest = NewType("Digest", str)
"""BLAKE3 digest as 64 hexadecimal digits."""
