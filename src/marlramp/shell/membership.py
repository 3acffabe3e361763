"""Follows the platform's lagging list of VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.platform import clients
from marlramp.shell import safely

JITTER = 0.2
HURRY_READS_PER_S = 1_000.0
"""Reads a second that all processes together may cause by hurrying."""

HURRY_SPREAD_MIN_S = 0.2
_COUNTER_REASON = "vm_list"


class Membership:
    """Keeps the last list that could be read."""

    def __init__(
        self,
        client: clients.VmListClient,
        interval_ms: float,
        totals: counters.Counters,
        on_change: Callable[[], None],
    ) -> None:
        """Calls `on_change` after each change of the list."""
        self._client = client
        self._interval_ms = interval_ms
        self._totals = totals
        self._on_change = on_change
        self._hurry = asyncio.Event()
        self._vms: dict[str, clients.ListedVm] = {}

    @property
    def vms(self) -> dict[str, clients.ListedVm]:
        """The last list, by VM."""
        return self._vms

    def find(self, role: clients.VmRole) -> list[clients.ListedVm]:
        """Returns the VMs of one role, ordered by id."""
        found = [vm for vm in self._vms.values() if vm.role is role]
        return sorted(found, key=lambda vm: vm.vm_id)

    def hurry(self) -> None:
        """Has the list read again soon instead of at the usual interval."""
        self._hurry.set()

    async def run(self) -> None:
        """Reads the list for ever, keeping the last one on failure."""
        while True:
            await self._read()
            spread = random.uniform(1.0 - JITTER, 1.0 + JITTER)
            delay_s = self._interval_ms * spread / clock.MILLIS_PER_SECOND
            try:
                async with asyncio.timeout(delay_s):
                    await self._hurry.wait()
                await asyncio.sleep(random.uniform(0.0, self._spread_s()))
            except TimeoutError:
                pass
            self._hurry.clear()

    def _spread_s(self) -> float:
        """Returns over what time all listed processes may hurry at once."""
        return max(HURRY_SPREAD_MIN_S, len(self._vms) / HURRY_READS_PER_S)

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
