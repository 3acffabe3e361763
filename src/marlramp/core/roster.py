"""Which processes of the system exist, kept alike by all entries.

News of members merge in any order, any number of times, to the same roster.
Its members are divided into buckets, each with a digest, so that two entries
whose rosters differ exchange only the buckets that do.

That a process is down is each entry's own verdict and is never passed on: an
entry that was cut off takes all others as down, and would otherwise have the
whole fleet believe it when the cut ends. Only suspicions are passed on, which
the suspected process contradicts.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from marlramp import clock
from marlramp.core import bucket_digests
from marlramp.core import members

BUCKETS = 16
"""Parts of the roster that are compared by themselves: 16 digests are 150
bytes, and one change moves a sixteenth of the roster."""

SUSPECT_MS = 900.0
"""Time in which a suspected process may contradict before it counts as down:
long enough for the suspicion to reach it and its answer to spread."""

FORGET_MS = 60_000.0
"""How long a process that is down is remembered: its part of shared budgets
stays unused that long, and it is looked for."""

_LOST = frozenset({members.MemberState.SUSPECT, members.MemberState.DOWN})


class Record(msgspec.Struct):
    """A process and what is known of it.

    Attributes:
      news: its newest news.
      since_ms: when its state was learnt.
      heard_ms: when this process last heard it itself.
    """

    news: members.MemberNews
    since_ms: float
    heard_ms: float = float("-inf")


class Roster:
    """The processes known to one entry, without itself.

    Attributes:
      own: what this process tells of itself.
      changes: number of changes so far.
      doubted: processes that are down here but not to others, to be asked.
    """

    def __init__(self, own: members.Member, incarnation: int) -> None:
        """Knows only itself, as starting.

        Args:
          own: this process.
          incarnation: its first incarnation, higher than that of any earlier
            process on the VM.
        """
        self.own = members.MemberNews(
            own, incarnation, members.MemberState.STARTING
        )
        self.changes = 0
        self.doubted: set[str] = set()
        self._records: dict[str, Record] = {}
        self._digests = bucket_digests.BucketDigests(BUCKETS)
        self._toggle(self.own)

    def get(self, vm_id: str) -> Record | None:
        """Returns a process, None if it is not known."""
        return self._records.get(vm_id)

    def records(self) -> list[Record]:
        """Returns all processes known, also those that are down."""
        return list(self._records.values())

    def set_own_state(self, state: members.MemberState) -> bool:
        """Takes this process's state; returns whether it changed."""
        if state is self.own.state:
            return False
        self._replace_own(self.own.incarnation, state)
        return True

    def apply(
        self, news: members.MemberNews, now_ms: clock.Millis
    ) -> members.MemberNews | None:
        """Takes news of a process that any other one tells.

        Returns:
          What is to be passed on: the news if they are new, or this process's
          contradiction of what is said of itself; None otherwise.
        """
        if news.vm_id == self.own.vm_id:
            return self._answer(news)
        if news.state is members.MemberState.DOWN:
            return None
        known = self._records.get(news.vm_id)
        if known is None:
            self._add(news, now_ms)
            return news
        if news.replaces(known.news):
            self._replace(known, news, now_ms)
            return news
        if (
            known.news.state is members.MemberState.DOWN
            and news.incarnation == known.news.incarnation
            and news.state is not members.MemberState.SUSPECT
        ):
            self.doubted.add(news.vm_id)
        return None

    def apply_direct(
        self, news: members.MemberNews, now_ms: clock.Millis
    ) -> members.MemberNews | None:
        """Takes what a process says of itself, over a link of its own.

        Returns:
          The news if they are to be passed on, None if all know them.
        """
        known = self._records.get(news.vm_id)
        if known is None:
            record = self._add(news, now_ms)
            record.heard_ms = now_ms
            return news
        known.heard_ms = now_ms
        if news.incarnation < known.news.incarnation or known.news == news:
            return None
        is_new = news.replaces(known.news)
        if is_new or known.news.state in _LOST:
            self._replace(known, news, now_ms)
        return news if is_new else None

    def heard(self, vm_id: str, now_ms: clock.Millis) -> Record | None:
        """Records that a process was heard; returns it if it is known."""
        record = self._records.get(vm_id)
        if record is not None:
            record.heard_ms = now_ms
        return record

    def suspect(
        self, vm_id: str, now_ms: clock.Millis
    ) -> members.MemberNews | None:
        """Suspects a process that did not answer; returns news to pass on.

        One that is down here already stays so, and those who take it as alive
        hear of it.
        """
        record = self._records.get(vm_id)
        if record is None:
            return None
        suspected = msgspec.structs.replace(
            record.news, state=members.MemberState.SUSPECT
        )
        if record.news.state not in _LOST:
            self._replace(record, suspected, now_ms)
        return suspected

    def tick(self, now_ms: clock.Millis) -> list[str]:
        """Takes suspects as down in time; returns those forgotten."""
        forgotten = []
        for vm_id, record in list(self._records.items()):
            age_ms = now_ms - record.since_ms
            state = record.news.state
            if state is members.MemberState.SUSPECT and age_ms >= SUSPECT_MS:
                down = members.MemberState.DOWN
                news = msgspec.structs.replace(record.news, state=down)
                self._replace(record, news, now_ms)
            elif state is members.MemberState.DOWN and age_ms >= FORGET_MS:
                del self._records[vm_id]
                forgotten.append(vm_id)
        return forgotten

    def is_alive(self, record: Record, now_ms: clock.Millis) -> bool:
        """Returns whether a process is there, as far as is known."""
        if record.news.state is not members.MemberState.DOWN:
            return True
        return now_ms - record.heard_ms < members.ALIVE_MS

    def alive(
        self, kind: members.MemberKind, now_ms: clock.Millis
    ) -> list[members.Member]:
        """Returns the processes of a kind that are there, by VM."""
        found = [
            record.news.member
            for record in self._records.values()
            if record.news.member.kind is kind and self.is_alive(record, now_ms)
        ]
        return sorted(found, key=lambda member: member.vm_id)

    def count(self, kind: members.MemberKind) -> int:
        """Returns how many processes of a kind are remembered, itself too."""
        known = sum(
            record.news.member.kind is kind for record in self._records.values()
        )
        return known + (self.own.member.kind is kind)

    def digests(self) -> list[int]:
        """Returns the digest of each bucket."""
        return self._digests.all()

    def digest(self) -> int:
        """Returns one digest of all that is known."""
        return self._digests.joined()

    def differing(self, digests: list[int]) -> list[int]:
        """Returns the buckets that differ from those of another roster."""
        return self._digests.differing(digests)

    def in_buckets(self, buckets: Iterable[int]) -> list[members.MemberNews]:
        """Returns the members of some buckets that are taken as alive."""
        wanted = set(buckets)
        known = [record.news for record in self._records.values()]
        return [
            news
            for news in (*known, self.own)
            if news.state not in _LOST
            and self._digests.bucket_of(news.vm_id) in wanted
        ]

    def _add(self, news: members.MemberNews, now_ms: clock.Millis) -> Record:
        record = Record(news, now_ms)
        self._records[news.vm_id] = record
        self._toggle(news)
        self.changes += 1
        return record

    def _replace(
        self, record: Record, news: members.MemberNews, now_ms: clock.Millis
    ) -> None:
        self._toggle(record.news)
        record.news = news
        record.since_ms = now_ms
        self._toggle(news)
        self.changes += 1

    def _answer(self, news: members.MemberNews) -> members.MemberNews | None:
        """Contradicts news of this process that it did not tell itself."""
        if not news.replaces(self.own):
            return None
        self._replace_own(news.incarnation + 1, self.own.state)
        return self.own

    def _replace_own(
        self, incarnation: int, state: members.MemberState
    ) -> None:
        self._toggle(self.own)
        self.own = members.MemberNews(self.own.member, incarnation, state)
        self._toggle(self.own)
        self.changes += 1

    def _toggle(self, news: members.MemberNews) -> None:
        """Adds news to the digest of its bucket, or takes them out.

        A process that is down is no part of it, since it is forgotten by each
        entry at another time.
        """
        if news.state is members.MemberState.DOWN:
            return
        text = f"{news.vm_id}\0{news.incarnation}\0{news.state.value}"
        self._digests.toggle(news.vm_id, text)
