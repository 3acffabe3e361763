from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp.direct import entry_daemon
from marlramp.settings import node
from tests.direct import conftest

LATE_MS = 3_000.0
"""Time after SIGTERM from which a request has to be finished or refused; the
users accept cuts only of requests that were sent earlier."""


def test_draining_entry_refuses_requests_that_it_may_not_finish(
    time: clock.ManualClock,
) -> None:
    address = node.Address("127.0.0.1", 1)
    addresses = node.EntryAddresses(
        callers=address, ready=address, lookup=address, control=address
    )
    settings = msgspec.structs.replace(conftest.SETTINGS, entry=addresses)
    daemon = entry_daemon.EntryDaemon(settings, lambda: settings)
    daemon._clock = time  # type: ignore[assignment]
    assert not daemon.refuses()
    daemon.drain("SIGTERM")
    time.advance(LATE_MS / 2)
    assert not daemon.refuses()
    assert daemon.closing
    time.advance(LATE_MS / 2)
    assert daemon.refuses()
