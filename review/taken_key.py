"""Requests with a key that a later configuration has taken away."""

from __future__ import annotations

import asyncio
import signal
import time

import msgspec

from review import support
from standins import direct_documents
from standins import direct_fleet

ENTRIES = 3
ENGINES = 1
DESKS = 2
TAKEN_KEY = "key-to-take-away"

CONTACT_S = 3.0
CALM_S = CONTACT_S + 1.0
"""Time without a disruption before the key is taken away."""

APPLY_S = 2.0
"""Time within which a configuration is in force (`config_apply_ms`)."""

JUDGED_S = 12.0
INTERVAL_S = 0.25
FIRST_VERSION = 5
LAST_VERSION = 9


class Seen(msgspec.Struct, frozen=True):
    """A request with the key that was taken away.

    Attributes:
      request_id: id of the attempt.
      entry: number of the entry.
      sent_s: time from the store's acknowledgement to the request.
      status: status of the answer, 0 for none.
      runs: how often replicas ran it.
    """

    request_id: str
    entry: int
    sent_s: float
    status: int
    runs: int

    @property
    def is_stale(self) -> bool:
        """Whether it ran though the key was no longer in force."""
        return self.sent_s > APPLY_S and self.runs > 0


class KeyFleet(direct_fleet.Fleet):
    """A fleet whose operator changes the keys."""

    def configuration(self, version: int, keys: list[str]) -> dict[str, object]:
        """Returns a configuration with these keys of one customer."""
        return direct_documents.configuration(
            self.origin_address, version, keys=keys
        )

    async def status(self, entry: int, request_id: str) -> int:
        """Uses the key; returns the status of the answer, 0 for none."""
        answer = await self.call(
            self.entry_hosts[entry], "/stock/x", request_id, key=TAKEN_KEY
        )
        words = answer.split(b" ", 2)
        return int(words[1]) if len(words) > 1 else 0

    async def give_key(self) -> None:
        """Publishes the key; returns when each entry serves it.

        Raises:
          CaseError: if that takes too long.
        """
        keys = [direct_documents.KEY, TAKEN_KEY]
        config = self.configuration(FIRST_VERSION, keys)
        self.store.put("op/config", config)
        until_s = time.monotonic() + CALM_S
        for entry in range(ENTRIES):
            number = 0
            while await self.status(entry, f"a{entry}{number}") != 200:
                if time.monotonic() > until_s:
                    raise support.CaseError("the key is not in force")
                number += 1
                await asyncio.sleep(INTERVAL_S)

    async def take_key(self, config: dict[str, object]) -> list[Seen]:
        """Publishes a configuration without the key, and goes on to use it."""
        self.store.put("op/config", config)
        acknowledged_s = time.monotonic()
        seen = []
        while time.monotonic() - acknowledged_s < JUDGED_S:
            for entry in range(ENTRIES):
                request_id = f"{len(seen):016x}"
                sent_s = time.monotonic() - acknowledged_s
                status = await self.status(entry, request_id)
                runs = sum(desk.runs.get(request_id, 0) for desk in self.desks)
                seen.append(Seen(request_id, entry, sent_s, status, runs))
            await asyncio.sleep(INTERVAL_S)
        return seen

    def signal_settings(self) -> None:
        """Tells half of the processes that their settings files have changed.

        The files of the others change without a signal.
        """
        processes = list(self.processes.values())
        for process in processes[: len(processes) // 2]:
            process.send_signal(signal.SIGHUP)


def holds(record: support.Record, seen: list[Seen]) -> bool:
    """Writes all requests; returns whether none ran late with the key."""
    for each in seen:
        record.write(
            f"{each.request_id} entry={each.entry}"
            f" sent={each.sent_s:.2f} s after the ack"
            f" status={each.status} runs={each.runs}"
            f"{' STALE' if each.is_stale else ''}"
        )
    stale = sum(each.is_stale for each in seen)
    late = sum(each.sent_s > APPLY_S for each in seen)
    record.write(
        f"{late} requests with the key later than {APPLY_S} s after the ack,"
        f" {stale} of them were run"
    )
    return not stale
