"""Logs and counts requests and prompt parts that are blocked or released."""

from __future__ import annotations

from marlramp import counters
from marlramp import logs
from marlramp.core.crashes import crash_record


def log_changes(
    changes: crash_record.BlockChanges, totals: counters.Counters
) -> None:
    """Logs new blocks, with their evidence, and released requests."""
    for fingerprint, evidence in changes.blocked.items():
        totals.add(counters.CounterName.CRASHES, "condemned")
        logs.log(
            "request_condemned",
            fingerprint=fingerprint,
            strikes=evidence.strikes,
            share=round(evidence.share, 2),
            crashes=evidence.crash_ids,
        )
    for part, part_evidence in changes.parts.items():
        totals.add(counters.CounterName.CRASHES, "part_condemned")
        logs.log(
            "part_condemned",
            fingerprint=part,
            strikes=part_evidence.strikes,
            requests=part_evidence.carriers,
            crashes=part_evidence.crash_ids,
        )
    for fingerprint in changes.released:
        totals.add(counters.CounterName.CRASHES, "released")
        logs.log("request_released", fingerprint=fingerprint)
