"""The run service of an agent before a scripted engine."""

from __future__ import annotations

import asyncio

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.agent import engine_crashes
from marlramp.agent import runs
from marlramp.core.grant_calls import grants
from marlramp.core.grant_calls import queueing
from marlramp.protocol import messages
from marlramp.shell import address_probe
from marlramp.shell import http

ENTRY = ids.VmId("entry-0")
INCARNATION = ids.Incarnation(1)


class Agent:
    """The runs of an agent before a scripted engine."""

    def __init__(self, address: str) -> None:
        self.sent: list[messages.FromAgent] = []
        self.unexpected: list[ids.VersionId] = []
        time = clock.SystemClock()
        totals = counters.Counters()
        self.crashes = engine_crashes.EngineCrashes(
            "vm-0", address, address_probe.probe, self.sent.append, totals, time
        )
        self._ledger = grants.GrantLedger(INCARNATION, 8, 60_000.0, 60_000.0)
        self._ledger.open()
        self.runs = runs.RunService(
            self._ledger,
            http.HttpClient(),
            f"http://{address}",
            self,
            self,
            totals,
            time,
            lambda: None,
            lambda run, begun: self.crashes.record_lost(run, begun=begun),
        )
        self._time = time

    def serving_version(self) -> ids.VersionId | None:
        return ids.VersionId("v1")

    def handle_unexpected_version(self, version: ids.VersionId) -> None:
        self.unexpected.append(version)

    def send(self, entry_id: ids.VmId, message: messages.FromAgent) -> None:
        self.sent.append(message)

    def ended(self) -> list[messages.RunEnded]:
        return [m for m in self.sent if isinstance(m, messages.RunEnded)]

    def reported(self) -> list[messages.EngineCrashed]:
        return [m for m in self.sent if isinstance(m, messages.EngineCrashed)]

    def start(
        self, name: str, *, stream: bool = True, from_token: bool = False
    ) -> messages.Run:
        """Starts a run with a grant of its own, and returns it."""
        now_ms = self._time.now_ms()
        held = self._ledger.running_count + 1
        (number,) = self._ledger.issue(ENTRY, held, now_ms)
        run = messages.Run(
            request_id=name,
            incarnation=INCARNATION,
            number=number,
            method="POST",
            path="/v1/completions",
            content_type="application/json",
            body=name.encode(),
            stream=stream,
            priority=queueing.Priority.NORMAL,
            remaining_ms=5_000.0,
            resume_from=0,
            version="",
            caller_id=name,
            from_token=from_token,
            idempotent=True,
        )
        self.runs.start(ENTRY, run)
        return run

    async def settle(self) -> None:
        await self.runs.wait_idle()
        await asyncio.sleep(engine_crashes.GATHER_MS / 1_000.0 + 0.1)
