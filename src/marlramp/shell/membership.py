"""Polls the platform's list of VMs, which may be out of date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.platform import clients
from marlramp.shell import safely

INTERVAL_JITTER = 0.2
EARLY_READS_PER_S_MAX = 1_000.0
"""Limit on the early reads per second of all processes together."""

EARLY_READ_SPREAD_MIN_S = 0.2
_COUNTER_REASON = "vm_list"


class Membership:
    """Keeps the last list that was read successfully."""

    def __init__(
        self,
        client: clients.VmListClient,
        interval_ms: float,
        totals: counters.Counters,
        on_change: Callable[[], None],
    ) -> None:
        """Calls `on_change` whenever the list has changed."""
        self._client = client
        self._interval_ms = interval_ms
        self._totals = totals
        self._on_change = on_change
        self._early_read = asyncio.Event()
        self._vms: dict[str, clients.ListedVm] = {}

    @property
    def vms(self) -> dict[str, clients.ListedVm]:
        """The last list, by VM id."""
        return self._vms

    def find(self, role: clients.VmRole) -> list[clients.ListedVm]:
        """Returns the VMs of one role, ordered by id."""
        found = [vm for vm in self._vms.values() if vm.role is role]
        return sorted(found, key=lambda vm: vm.vm_id)

    def hurry(self) -> None:
        """Requests a read soon, ahead of the regular interval."""
        self._early_read.set()

    async def run(self) -> None:
        """Reads the list periodically, keeping the last one on failure."""
        while True:
            await self._read()
            jitter = random.uniform(
                1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER
            )
            delay_s = self._interval_ms * jitter / clock.MILLIS_PER_SECOND
            try:
                async with asyncio.timeout(delay_s):
                    await self._early_read.wait()
                await asyncio.sleep(
                    random.uniform(0.0, self._early_read_spread_s())
                )
            except TimeoutError:
                pass
            self._early_read.clear()

    def _early_read_spread_s(self) -> float:
        """Returns the time over which early reads of all VMs are spread."""
        return max(
            EARLY_READ_SPREAD_MIN_S, len(self._vms) / EARLY_READS_PER_S_MAX
        )

    async def _read(self) -> None:
        self._totals.add(counters.CounterName.PLATFORM_READS, _COUNTER_REASON)
        try:
            listed = await self._client.read()
        except clients.PlatformError as error:
            logs.log("vm_list_unavailable", detail=error)
            return
        vms = {vm.vm_id: vm for vm in listed}
        if vms != self._vms:
            self._vms = vms
            safely.run_safely(self._on_change, "members", self._totals)
