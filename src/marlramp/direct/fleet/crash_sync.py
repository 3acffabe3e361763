"""Keeps what all entries know of crashing requests alike.

News are passed on at once to a few entries, which pass them on in turn. What an
entry misses (it started late, was cut off or suspended) shows in the digests
that entries exchange anyway, and is asked for.
"""

from __future__ import annotations

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core import crash_record
from marlramp.core import rumours
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

COMPARE_MS = 500.0
"""Between two requests for crashes that the own ledger lacks."""

FORGET_MS = 1_000.0
"""Between two looks for crashes that are old."""


class CrashSync:
    """This entry's part in sharing crashes."""

    def __init__(
        self,
        record: crash_record.CrashRecord,
        sync: member_sync.MemberSync,
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Shares `record` with the entries that `sync` knows."""
        self._record = record
        self._sync = sync
        self._totals = totals
        self._clock = time
        self._rumours: rumours.Rumours[ids.CrashId] = rumours.Rumours()
        self._compared_ms = float("-inf")
        self._forgot_ms = float("-inf")

    @property
    def digest(self) -> int:
        """Digest of the crashes known here."""
        return self._record.ledger.digest()

    def on_digest(self, name: str, digest: int) -> None:
        """Asks an entry whose ledger differs for what it knows."""
        now_ms = self._clock.now_ms()
        if digest == self.digest or now_ms - self._compared_ms < COMPARE_MS:
            return
        self._compared_ms = now_ms
        digests = self._record.ledger.digests()
        self._sync.send(name, fleet_messages.CrashRequest(digests=digests))

    def on_news(self, news: fleet_messages.CrashNews) -> None:
        """Takes what another entry knows."""
        self._record.merge(news.crashes, self._clock.now_ms())

    def on_request(
        self, name: str, request: fleet_messages.CrashRequest
    ) -> None:
        """Tells an entry what its ledger may lack."""
        ledger = self._record.ledger
        crashes = ledger.differing(request.digests)
        self._tell(name, crashes)

    def tick(self) -> None:
        """Passes on what is new, and says what follows from it."""
        now_ms = self._clock.now_ms()
        if now_ms - self._forgot_ms >= FORGET_MS:
            self._forgot_ms = now_ms
            self._record.tick(now_ms)
        for crash in self._record.take_untold():
            self._rumours.add(crash, crash, now_ms)
        crashes = self._record.ledger.told(self._rumours.take(now_ms), now_ms)
        if crashes:
            self._sync.send_some(fleet_messages.CrashNews(crashes=crashes))
        self._log_verdicts()

    def _tell(self, name: str, crashes: list[ids.CrashId]) -> None:
        told = self._record.ledger.told(crashes, self._clock.now_ms())
        if told:
            self._sync.send(name, fleet_messages.CrashNews(crashes=told))

    def _log_verdicts(self) -> None:
        verdicts = self._record.take_verdicts()
        for fingerprint, evidence in verdicts.condemned.items():
            self._totals.add(counters.CounterName.CRASHES, "condemned")
            logs.log(
                "request_condemned",
                fingerprint=fingerprint,
                strikes=evidence.strikes,
                share=round(evidence.share, 2),
                crashes=evidence.crash_ids,
            )
        for fingerprint in verdicts.released:
            self._totals.add(counters.CounterName.CRASHES, "released")
            logs.log("request_released", fingerprint=fingerprint)
