"""Keeps the catalogs of the entries in step with one another."""

from __future__ import annotations

from collections.abc import Callable

from marlramp import clock
from marlramp import logs
from marlramp.core import catalog
from marlramp.core import members
from marlramp.core import reader_duty
from marlramp.direct.fleet import catalog_log
from marlramp.direct.fleet import catalog_news
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

REQUEST_NEWS_MS = 500.0
"""Between two requests for changes that were missed."""


class CatalogSync:
    """This entry's part in passing on what was read from the store."""

    def __init__(
        self,
        known: catalog.Catalog,
        sync: member_sync.MemberSync,
        on_changed: Callable[[list[catalog.Change]], None],
        time: clock.Clock,
    ) -> None:
        """Applies what others tell to `known`.

        Args:
          known: the catalog of this entry.
          sync: the other members.
          on_changed: called with changes that were new.
          time: the clock.
        """
        self._catalog = known
        self._sync = sync
        self._on_changed = on_changed
        self._clock = time
        self._requested_ms = float("-inf")
        self._store_down = False

    def publish(self, after: int, changes: list[catalog.Change]) -> None:
        """Takes changes read from the store and tells the others.

        Args:
          after: revision before them.
          changes: the changes, already in the catalog.
        """
        self._take(changes, "store")
        self._sync.broadcast(
            members.MemberKind.ENTRY, self._news(after, changes)
        )

    def on_heartbeat(
        self, name: str, pulse: members.Pulse, *, reading: bool
    ) -> None:
        """Asks a member that knows more, unless the own reader will see it."""
        if pulse.revision > self._catalog.revision and not reading:
            self._request_news(name)

    def on_news(self, name: str, news: fleet_messages.CatalogNews) -> None:
        """Takes changes that another entry tells."""
        now_ms = self._clock.now_ms()
        before = self._catalog.revision
        new = self._catalog.apply(catalog_news.unpack(news.changes), now_ms)
        if news.after <= before:
            self._catalog.advance(news.revision)
        else:
            self._request_news(name)
        if new:
            self._take(new, name)

    def tell(self, name: str, after: int) -> None:
        """Tells an entry what changed after a revision."""
        changes = self._catalog.changes_after(after, self._clock.now_ms())
        self._sync.send(name, self._news(after, changes))

    def note_store(self, bound_ms: float, *, own_fails: bool) -> None:
        """Notices a store that serves no entry.

        Args:
          bound_ms: time after its naming from which a version binds.
          own_fails: whether this entry's last call failed.
        """
        now_ms = self._clock.now_ms()
        alive = self._sync.members.alive(members.MemberKind.ENTRY, now_ms)
        down = reader_duty.store_serves_none(alive, own_fails=own_fails)
        if down:
            self._catalog.store_down(bound_ms, now_ms)
        if down is not self._store_down:
            self._store_down = down
            logs.log("store_serves_none" if down else "store_serves")

    def _take(self, changes: list[catalog.Change], source: str) -> None:
        for change in changes:
            catalog_log.log_change(change, source)
        self._on_changed(changes)

    def _request_news(self, name: str) -> None:
        now_ms = self._clock.now_ms()
        first = self._catalog.revision == 0
        if not first and now_ms - self._requested_ms < REQUEST_NEWS_MS:
            return
        self._requested_ms = now_ms
        after = self._catalog.revision
        self._sync.send(name, fleet_messages.CatalogRequest(after=after))

    def _news(
        self, after: int, changes: list[catalog.Change]
    ) -> fleet_messages.CatalogNews:
        return fleet_messages.CatalogNews(
            after=after,
            revision=self._catalog.revision,
            changes=catalog_news.pack(changes),
        )
