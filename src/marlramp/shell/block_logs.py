"""Logs and counts which requests and parts of prompts are blocked."""

from __future__ import annotations

from marlramp import counters
from marlramp import logs
from marlramp.core.crashes import crash_record


def log_changes(
    changes: crash_record.BlockChanges, totals: counters.Counters
) -> None:
    """Logs what is newly blocked, with the evidence, and what is released."""
    for fingerprint, evidence in changes.blocked.items():
        totals.add(counters.CounterName.CRASHES, "condemned")
        logs.log(
            "request_condemned",
            fingerprint=fingerprint,
            strikes=evidence.strikes,
            share=round(evidence.share, 2),
            crashes=evidence.crash_ids,
        )
    for part, against in changes.parts.items():
        totals.add(counters.CounterName.CRASHES, "part_condemned")
        logs.log(
            "part_condemned",
            fingerprint=part,
            strikes=against.strikes,
            requests=against.carriers,
            crashes=against.crash_ids,
        )
    for fingerprint in changes.released:
        totals.add(counters.CounterName.CRASHES, "released")
        logs.log("request_released", fingerprint=fingerprint)
