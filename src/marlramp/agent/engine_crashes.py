"""Detects crashes of the upstream on this VM and reports them to entries.

A run whose connection ends early may have lost only the connection. An upstream
that no longer accepts connections has crashed, and all requests that were in
flight there are suspects of the crash.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core.crashes import crash_ledger
from marlramp.core.crashes import crash_reports
from marlramp.core.requests import request_fingerprint
from marlramp.protocol import messages
from marlramp.shell import address_probe

GATHER_MS = 50.0
"""Time in which lost runs are collected after the probe of the upstream."""

SAME_CRASH_MS = 1_000.0
"""Time after a crash in which further lost runs belong to it."""

REPORTED_MAX = 32
"""Most crashes that are remembered for entries whose links open later, the
latest ones."""


class Probe(Protocol):
    """Checks whether a process listens at an address."""

    async def __call__(self, address: str) -> address_probe.Presence:
        """Probes an address of the form "host:port"."""
        ...


class EngineCrashes:
    """Crashes of the upstream during this run of the agent."""

    def __init__(
        self,
        name: str,
        address: str,
        probe: Probe,
        send_all: Callable[[messages.FromAgent], None],
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Starts without crashes.

        Args:
          name: prefix of the ids of crashes, unique to this run of the agent.
          address: where the upstream listens, "host:port".
          probe: checks whether it still listens.
          send_all: sends a message to all linked entries.
          totals: counters.
          time: the clock.
        """
        self._name = name
        self._address = address
        self._probe = probe
        self._send_all = send_all
        self._totals = totals
        self._clock = time
        self._ledger = crash_ledger.CrashLedger()
        self._reported: list[ids.CrashId] = []
        self._crashed_ms = float("-inf")
        self._count = 0
        # Whether each lost request had returned a part of its answer.
        self._lost: dict[ids.Fingerprint, bool] = {}
        self._task: asyncio.Task[None] | None = None

    def record_lost(self, run: messages.Run, *, begun: bool) -> None:
        """Records a run whose connection to the upstream ended early.

        Args:
          run: the run.
          begun: whether a part of its answer had arrived.
        """
        fingerprint = request_fingerprint.upstream_fingerprint(
            run.method, run.path, run.body
        )
        self._lost[fingerprint] = begun and self._lost.get(fingerprint, True)
        if self._task is None:
            self._task = asyncio.create_task(self._judge())

    def known(self) -> list[messages.EngineCrashed]:
        """Returns the latest crashes, for an entry whose link has opened."""
        now_ms = self._clock.now_ms()
        crashes = self._ledger.export(self._reported, now_ms)
        return [messages.EngineCrashed(crash=crash) for crash in crashes]

    async def _judge(self) -> None:
        presence = await self._probe(self._address)
        await asyncio.sleep(GATHER_MS / clock.MILLIS_PER_SECOND)
        lost, self._lost = self._lost, {}
        self._task = None
        if presence is not address_probe.Presence.GONE:
            self._totals.add(counters.CounterName.CRASHES, "no_crash")
            return
        self._report(self._crash_id(), lost)

    def _crash_id(self) -> ids.CrashId:
        """Returns the id of the crash that has just been noticed."""
        now_ms = self._clock.now_ms()
        if now_ms - self._crashed_ms >= SAME_CRASH_MS:
            self._crashed_ms = now_ms
            self._count += 1
        return crash_reports.crash_id(self._name, self._count)

    def _report(
        self, crash: ids.CrashId, lost: dict[ids.Fingerprint, bool]
    ) -> None:
        now_ms = self._clock.now_ms()
        for fingerprint, begun in lost.items():
            self._ledger.add_suspect(
                crash, fingerprint, begun=begun, now_ms=now_ms
            )
            self._totals.add(counters.CounterName.CRASHES, "suspect")
            logs.log(
                "crash_suspected",
                crash=crash,
                fingerprint=fingerprint,
                begun=begun,
            )
        if crash not in self._reported:
            self._reported.append(crash)
            del self._reported[:-REPORTED_MAX]
        self._ledger.tick(now_ms)
        (exported,) = self._ledger.export([crash], now_ms)
        self._send_all(messages.EngineCrashed(crash=exported))
