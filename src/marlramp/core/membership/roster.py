"""The processes of the system, replicated by all entries.

Updates on members are idempotent and commutative: applied in any order and any
number of times, they result in an identical roster. The members are divided
into buckets, each with a digest, so that two entries whose rosters differ
exchange only the buckets that differ.

Each entry decides for itself that a process is down and never forwards that
decision. An entry that was partitioned considers all others down, and would
otherwise convince the whole fleet of it when the partition ends. Entries
forward only suspicions, which the suspected process contradicts.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from marlramp import clock
from marlramp.core import bucket_digests
from marlramp.core.membership import members

BUCKETS = 16
"""Number of parts of the roster that are compared separately: 16 digests have
150 bytes, and one change transfers a sixteenth of the roster."""

SUSPECT_MS = 900.0
"""Time within which a suspected process may contradict before it counts as
down: long enough for the suspicion to reach the process and for its answer to
spread."""

FORGET_MS = 60_000.0
"""Time for which a process that is down is kept. Its share of shared budgets
stays unused meanwhile, and other processes keep probing it."""

REMEMBER_MS = 3_600_000.0
"""Time for which the name of a process is remembered after it was forgotten.
Regions lose each other for minutes, and neither side may then take over the
other's share of a bound that holds for both together."""

MEMBERS_MAX = 16_384
"""Most processes that are known, and names that are remembered. The largest
fleet has about 2,000 processes."""

_LOST = frozenset({members.MemberState.SUSPECT, members.MemberState.DOWN})


class Record(msgspec.Struct):
    """A process and its state as this process knows it.

    Attributes:
      update: the newest update on the process.
      since_ms: when this process applied the update.
      heard_ms: when this process last received something from the process
        itself.
    """

    update: members.MemberUpdate
    since_ms: float
    heard_ms: float = float("-inf")


class Roster:
    """The processes known to one entry, without the entry itself.

    Attributes:
      own: the update that this process sends on itself.
      changes: number of changes so far.
      disputed: VMs of processes that are down here but not to other entries,
        and that are to be probed.
    """

    def __init__(self, own: members.Member, incarnation: int) -> None:
        """Starts with this process alone, in state STARTING.

        Args:
          own: this process.
          incarnation: first incarnation of this process, higher than that of
            any earlier process on its VM.
        """
        self.own = members.MemberUpdate(
            own, incarnation, members.MemberState.STARTING
        )
        self.changes = 0
        self.disputed: set[str] = set()
        self._records: dict[str, Record] = {}
        self._forgotten: dict[str, tuple[members.MemberKind, float]] = {}
        self._digests = bucket_digests.BucketDigests(BUCKETS)
        self._toggle(self.own)

    def get(self, vm_id: str) -> Record | None:
        """Returns the record of a process, None if the process is not known."""
        return self._records.get(vm_id)

    def records(self) -> list[Record]:
        """Returns the records of all known processes, also those down."""
        return list(self._records.values())

    def set_own_state(self, state: members.MemberState) -> bool:
        """Sets the state of this process; returns whether it changed."""
        if state is self.own.state:
            return False
        self._replace_own(self.own.incarnation, state)
        return True

    def apply(
        self, update: members.MemberUpdate, now_ms: clock.Millis
    ) -> members.MemberUpdate | None:
        """Applies an update on a process, whichever process reported it.

        Returns:
          The update to forward: the applied one if it is new, or this process's
          contradiction of an update on itself; None otherwise.
        """
        if update.vm_id == self.own.vm_id:
            return self._contradict(update)
        if update.state is members.MemberState.DOWN:
            return None
        known = self._records.get(update.vm_id)
        if known is None and self._is_forgotten(update):
            return None
        if known is None:
            return None if self._add(update, now_ms) is None else update
        if update.replaces(known.update):
            self._replace(known, update, now_ms)
            return update
        if (
            known.update.state is members.MemberState.DOWN
            and update.incarnation == known.update.incarnation
            and update.state is not members.MemberState.SUSPECT
        ):
            self.disputed.add(update.vm_id)
        return None

    def apply_direct(
        self, update: members.MemberUpdate, now_ms: clock.Millis
    ) -> members.MemberUpdate | None:
        """Applies an update that a process sent on itself over its own link.

        Returns:
          The update if it is to be forwarded, None if it is not new.
        """
        known = self._records.get(update.vm_id)
        if known is None:
            record = self._add(update, now_ms)
            if record is None:
                return None
            record.heard_ms = now_ms
            return update
        known.heard_ms = now_ms
        if (
            update.incarnation < known.update.incarnation
            or known.update == update
        ):
            return None
        is_new = update.replaces(known.update)
        if is_new or known.update.state in _LOST:
            self._replace(known, update, now_ms)
        return update if is_new else None

    def record_message(self, vm_id: str, now_ms: clock.Millis) -> Record | None:
        """Records that a process sent something to this process.

        Returns:
          The record of the process, None if the process is not known.
        """
        record = self._records.get(vm_id)
        if record is not None:
            record.heard_ms = now_ms
        return record

    def suspect(
        self, vm_id: str, now_ms: clock.Millis
    ) -> members.MemberUpdate | None:
        """Suspects a process that did not respond.

        A process that is already down here stays down. The suspicion is
        returned nevertheless, for entries that consider the process alive.

        Returns:
          The update to forward, None if the process is not known.
        """
        record = self._records.get(vm_id)
        if record is None:
            return None
        suspected = msgspec.structs.replace(
            record.update, state=members.MemberState.SUSPECT
        )
        if record.update.state not in _LOST:
            self._replace(record, suspected, now_ms)
        return suspected

    def tick(self, now_ms: clock.Millis) -> list[str]:
        """Marks suspects as down, and removes processes that were down long.

        Returns:
          VMs of the processes that were removed.
        """
        forgotten = []
        for vm_id, record in list(self._records.items()):
            age_ms = now_ms - record.since_ms
            state = record.update.state
            if state is members.MemberState.SUSPECT and age_ms >= SUSPECT_MS:
                down = members.MemberState.DOWN
                update = msgspec.structs.replace(record.update, state=down)
                self._replace(record, update, now_ms)
            elif state is members.MemberState.DOWN and age_ms >= FORGET_MS:
                del self._records[vm_id]
                self.disputed.discard(vm_id)
                self._forgotten[vm_id] = (record.update.member.kind, now_ms)
                forgotten.append(vm_id)
        for vm_id, (_, forgotten_ms) in list(self._forgotten.items()):
            excess = len(self._forgotten) > MEMBERS_MAX
            if now_ms - forgotten_ms < REMEMBER_MS and not excess:
                break
            del self._forgotten[vm_id]
            self.changes += 1
        return forgotten

    def is_alive(self, record: Record, now_ms: clock.Millis) -> bool:
        """Returns whether a process is alive, as far as this process knows."""
        if record.update.state is not members.MemberState.DOWN:
            return True
        return now_ms - record.heard_ms < members.ALIVE_MS

    def alive(
        self, kind: members.MemberKind, now_ms: clock.Millis
    ) -> list[members.Member]:
        """Returns the processes of a kind that are alive, ordered by VM."""
        found = [
            record.update.member
            for record in self._records.values()
            if record.update.member.kind is kind
            and self.is_alive(record, now_ms)
        ]
        return sorted(found, key=lambda member: member.vm_id)

    def count(self, kind: members.MemberKind) -> int:
        """Returns the number of known processes of a kind, with this one."""
        known = sum(
            record.update.member.kind is kind
            for record in self._records.values()
        )
        return known + (self.own.member.kind is kind)

    def data_centres(self, kind: members.MemberKind) -> list[str]:
        """Returns the data centre of each known process of a kind.

        The list includes this process and those that are down.
        """
        listed = [self.own, *(r.update for r in self._records.values())]
        return [u.member.data_centre for u in listed if u.member.kind is kind]

    def remembered(self, kind: members.MemberKind) -> list[str]:
        """Returns the VMs of a kind of process, with those long down.

        The list changes only when `changes` does.
        """
        listed = [self.own, *(r.update for r in self._records.values())]
        gone = [vm for vm, (of, _) in self._forgotten.items() if of is kind]
        return [u.vm_id for u in listed if u.member.kind is kind] + gone

    def digests(self) -> list[int]:
        """Returns the digest of each bucket."""
        return self._digests.all()

    def digest(self) -> int:
        """Returns one digest of the whole roster."""
        return self._digests.joined()

    def differing(self, digests: list[int]) -> list[int]:
        """Returns the buckets whose digests differ from another roster's."""
        return self._digests.differing(digests)

    def in_buckets(self, buckets: Iterable[int]) -> list[members.MemberUpdate]:
        """Returns updates on members of some buckets, without lost members."""
        wanted = set(buckets)
        known = [record.update for record in self._records.values()]
        return [
            update
            for update in (*known, self.own)
            if update.state not in _LOST
            and self._digests.bucket_of(update.vm_id) in wanted
        ]

    def _add(
        self, update: members.MemberUpdate, now_ms: clock.Millis
    ) -> Record | None:
        """Adds a process; returns None if too many are known."""
        if len(self._records) >= MEMBERS_MAX:
            return None
        self._forgotten.pop(update.vm_id, None)
        record = Record(update, now_ms)
        self._records[update.vm_id] = record
        self._toggle(update)
        self.changes += 1
        return record

    def _replace(
        self, record: Record, update: members.MemberUpdate, now_ms: clock.Millis
    ) -> None:
        self._toggle(record.update)
        record.update = update
        record.since_ms = now_ms
        self._toggle(update)
        self.changes += 1

    def _is_forgotten(self, update: members.MemberUpdate) -> bool:
        """Returns whether an update suspects a process that was forgotten.

        Entries forget a process at different times; one that still probes it
        would bring it back to all others, and they to it.
        """
        suspect = update.state is members.MemberState.SUSPECT
        return suspect and update.vm_id in self._forgotten

    def _contradict(
        self, update: members.MemberUpdate
    ) -> members.MemberUpdate | None:
        """Contradicts an update on this process that another process issued."""
        if not update.replaces(self.own):
            return None
        self._replace_own(update.incarnation + 1, self.own.state)
        return self.own

    def _replace_own(
        self, incarnation: int, state: members.MemberState
    ) -> None:
        self._toggle(self.own)
        self.own = members.MemberUpdate(self.own.member, incarnation, state)
        self._toggle(self.own)
        self.changes += 1

    def _toggle(self, update: members.MemberUpdate) -> None:
        """Adds an update to the digest of its bucket, or removes it from there.

        A process that is down is not part of a digest, since entries remove it
        from their rosters at different times.
        """
        if update.state is members.MemberState.DOWN:
            return
        text = f"{update.vm_id}\0{update.incarnation}\0{update.state.value}"
        self._digests.toggle(update.vm_id, text)
