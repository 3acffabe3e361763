"""A process's copy of the platform's store, whose revisions only increase.

Every item carries the store's revision of its last change, so that changes read
from the store and changes received from other processes are merged by one rule:
the highest revision of an item counts, in whatever order the changes arrive.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import event_time
from marlramp.core.configuration import fleet
from marlramp.core.configuration import named_versions

REPLICA_RETURN_MS = 2_300.0
"""Time after an outage of the store during which a missing replica is kept. A
replica that is alive renews a record that expired while the store was down
within about 2 s of the store's return; a replica whose record is still missing
after that is gone."""

TOMBSTONE_MS = 60_000.0
"""Time for which a removal is kept, longer than changes are in transit."""


class ConfigChange(msgspec.Struct, frozen=True, tag="config"):
    """A configuration that was accepted."""

    revision: int
    config: fleet.FleetConfig


class TargetChange(msgspec.Struct, frozen=True, tag="target"):
    """A version of the weights that was announced.

    Attributes:
      revision: revision of the change.
      target: the weights.
      ages: how long ago the version was announced, None if it was already in
        the store at a first read, so that its age is not known.
      outage_age_ms: see `named_versions.AgedVersion`.
      earlier: versions announced before this one, each of which takes effect on
        its own; empty if the change was read from the store, which holds only
        the newest version.
    """

    revision: int
    target: fleet.WeightsTarget
    ages: event_time.Ages | None = None
    outage_age_ms: float | None = None
    earlier: tuple[named_versions.AgedVersion, ...] = ()


class ReplicaChange(msgspec.Struct, frozen=True, tag="replica"):
    """A replica's record that was written or removed.

    Attributes:
      revision: revision of the change.
      replica_id: id of the replica.
      replica: record of the replica, None if it was removed or is unreadable.
      unreadable: whether the store holds a record that does not decode to a
        replica. The record did not expire, so that the replica is not expected
        to return.
    """

    revision: int
    replica_id: str
    replica: fleet.Replica | None
    unreadable: bool = False


class EvacuationChange(msgspec.Struct, frozen=True, tag="evacuation"):
    """An evacuation of a data centre that started or ended.

    Attributes:
      revision: revision of the change.
      data_centre: the data centre.
      active: whether the evacuation started; False if it ended.
    """

    revision: int
    data_centre: ids.DataCentreId
    active: bool


Change: TypeAlias = (
    ConfigChange | TargetChange | ReplicaChange | EvacuationChange
)


def item_of(change: Change) -> tuple[str, str]:
    """Returns the kind and the name of the item that changed."""
    match change:
        case ConfigChange():
            return "config", ""
        case TargetChange():
            return "target", change.target.model
        case ReplicaChange():
            return "replica", change.replica_id
        case EvacuationChange():
            return "evacuation", change.data_centre


class Snapshot(msgspec.Struct, frozen=True):
    """Changes and the store's revision up to which they are complete."""

    revision: int
    changes: list[Change]


class KnownTarget(msgspec.Struct):
    """Weights of one model that are to be served.

    Attributes:
      target: the newest weights.
      revision: revision of the change that announced the newest weights.
      named: versions announced so far, the newest last; each takes effect on
        its own.
    """

    target: fleet.WeightsTarget
    revision: int
    named: list[named_versions.NamedVersion]

    @property
    def named_ms(self) -> float | None:
        """When the newest version's time starts to count, None if not known."""
        return self.named[-1].counts_from_ms

    @property
    def named_by_ms(self) -> float | None:
        """By when the newest version was announced, None if not known."""
        return self.named[-1].named_by_ms

    def next_counts_from_ms(self, version: int) -> float | None:
        """Returns when the time of the next newer version starts to count.

        Returns:
          The reading, None if it is not known or no version is newer than
          `version`.
        """
        for named in self.named:
            if named.version > version:
                return named.counts_from_ms
        return None


class KnownReplica(msgspec.Struct):
    """A replica that is or was listed.

    Attributes:
      replica: record of the replica, None once the record was removed.
      revision: revision of the record or of its removal.
      last: the last readable record of the replica.
      missing_ms: since when the record has been missing while the replica may
        still return, None if it is not missing.
      removed_ms: when the replica was considered gone, None if it was not.
    """

    replica: fleet.Replica | None
    revision: int
    last: fleet.Replica | None
    missing_ms: float | None = None
    removed_ms: float | None = None


class Catalog:
    """Configuration, weights targets and replicas known to this process.

    Attributes:
      revision: revision of the store up to which all changes are known.
      config: the configuration in force, None before the first.
      config_revision: revision of that configuration.
      targets: the weights that are to be served, by model.
      evacuated: data centres whose replicas must not be sent requests.
      listed_revision: revision of the last complete read of the store that is
        known here, 0 if none is.
    """

    def __init__(self, data_centres: Iterable[str] = ()) -> None:
        """Starts empty, at revision 0.

        Args:
          data_centres: data centres of the deployment. A complete read of the
            store tells of each whether it is evacuated.
        """
        self._data_centres = [ids.DataCentreId(name) for name in data_centres]
        self.revision = 0
        self.listed_revision = 0
        self.config: fleet.FleetConfig | None = None
        self.config_revision = 0
        self.targets: dict[str, KnownTarget] = {}
        self._replicas: dict[str, KnownReplica] = {}
        # Ended evacuations stay, so that older changes don't restart them.
        self._evacuations: dict[ids.DataCentreId, EvacuationChange] = {}
        self.evacuated: frozenset[ids.DataCentreId] = frozenset()
        self._store_failed_ms = float("-inf")
        self._served_since_ms: float | None = None
        self._outage = named_versions.Outage()
        self._knew_before = False

    @property
    def config_version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return 0 if self.config is None else self.config.version

    def replicas(self) -> list[fleet.Replica]:
        """Returns the replicas that are listed or may return.

        Of two replicas at one address only the one written last is alive: the
        other one has crashed and its record has not expired yet. Sending
        to the crashed one had 216 of 4,080 requests rejected with status 421 in
        the seconds after all engines had lost power.
        """
        newest: dict[str, KnownReplica] = {}
        for known in self._replicas.values():
            if known.removed_ms is not None or known.last is None:
                continue
            # A record of a service that is not configured must not hide a
            # replica at its address.
            if not self._is_configured(known.last.service_id):
                continue
            other = newest.get(known.last.address)
            if other is None or other.revision < known.revision:
                newest[known.last.address] = known
        return [known.last for known in newest.values() if known.last]

    def _is_configured(self, service_id: ids.ServiceId) -> bool:
        if self.config is None:
            return True
        services = self.config.services
        return any(service.service_id == service_id for service in services)

    def replica(self, replica_id: str) -> fleet.Replica | None:
        """Returns a replica that is listed or may return, otherwise None."""
        known = self._replicas.get(replica_id)
        if known is None or known.removed_ms is not None:
            return None
        return known.last

    def record_store_failure(self, now_ms: clock.Millis) -> None:
        """Records that an outage of the store lasts until `now_ms` or longer.

        A replica that is removed less than `REPLICA_RETURN_MS` later may
        return. A single failed call is no outage.
        """
        self._store_failed_ms = now_ms

    def record_service(self, since_ms: float | None) -> None:
        """Records since when the store has served other entries.

        An outage that this process still observes is then one of its own path,
        which keeps no replica from renewing its record.

        Args:
          since_ms: since when the store has served another entry without an
            interruption, None if it serves none as far as is known.
        """
        self._served_since_ms = since_ms

    def kept_until_ms(self) -> float:
        """Returns until when a replica whose record is missing is kept.

        Returns:
          A time on the process's clock, in the past if no outage of the store
          has lasted until a short time ago.
        """
        ended_ms = self._store_failed_ms
        if self._served_since_ms is not None:
            ended_ms = min(ended_ms, self._served_since_ms)
        return ended_ms + REPLICA_RETURN_MS

    def record_outage_sign(
        self, bound_ms: float, sign_ms: float, known_ms: float | None = None
    ) -> None:
        """Records a sign that the store serves no entry.

        The time within which a version must be in force counts only while the
        store serves. The time of versions that have not taken effect restarts,
        so that engines on the old version need not be idle meanwhile.

        Args:
          bound_ms: time from a version's announcement until it takes effect.
          sign_ms: reading at which the store still served no entry.
          known_ms: when the reading became known, None for immediately.
        """
        self._outage.record_sign(bound_ms, sign_ms, known_ms)
        for known in self.targets.values():
            known.named = [self._outage.apply_to(each) for each in known.named]

    def apply(
        self,
        changes: Iterable[Change],
        now_ms: clock.Millis,
        receipt: event_time.Receipt | None = None,
    ) -> list[Change]:
        """Applies changes in any order; returns those that were new.

        Args:
          changes: the changes.
          now_ms: the time.
          receipt: when the changes were sent and received, None if their ages
            are as of `now_ms`.
        """
        receipt = receipt or event_time.Receipt(now_ms, now_ms)
        self._knew_before = self.config is not None or bool(self.targets)
        return [c for c in changes if self._apply_change(c, receipt)]

    def aged_change(
        self, change: TargetChange, now_ms: clock.Millis
    ) -> TargetChange:
        """Returns a change that was applied, with all ages as of `now_ms`."""
        model, version = change.target.model, change.target.version
        aged = [
            named.aged(model, now_ms) for named in self.targets[model].named
        ]
        own = next(
            (each for each in aged if each.version == version),
            named_versions.AgedVersion(model, version, None),
        )
        return msgspec.structs.replace(
            change,
            ages=own.ages,
            outage_age_ms=own.outage_age_ms,
            earlier=tuple(each for each in aged if each.version < version),
        )

    def aged_versions(
        self, now_ms: clock.Millis
    ) -> list[named_versions.AgedVersion]:
        """Returns the versions of all models, with ages as of `now_ms`."""
        return [
            named.aged(model, now_ms)
            for model, known in self.targets.items()
            for named in known.named
        ]

    def merge_ages(
        self,
        versions: Iterable[named_versions.AgedVersion],
        receipt: event_time.Receipt,
    ) -> None:
        """Merges the ages of versions that another process reported.

        Args:
          versions: the versions. Versions newer than the known target are
            ignored, since a change announces them.
          receipt: when the ages were sent and received.
        """
        for aged in versions:
            known = self.targets.get(aged.model)
            if known is None or aged.version > known.target.version:
                continue
            received = self._dated_version(
                aged.version, aged.ages, aged.outage_age_ms, receipt
            )
            known.named = self._merged(known.named, received)

    def advance(self, revision: int) -> None:
        """Records that all changes up to `revision` have been applied."""
        self.revision = max(self.revision, revision)

    def apply_snapshot(
        self, snapshot: Snapshot, now_ms: clock.Millis
    ) -> list[Change]:
        """Applies a complete read of the store.

        A replica or evacuation that is missing in the snapshot was removed from
        the store.

        Returns:
          The changes that were new, including removals.
        """
        changes = list(snapshot.changes)
        listed = {c.replica_id for c in changes if isinstance(c, ReplicaChange)}
        changes.extend(self._removals(listed, snapshot.revision))
        changes.extend(self._ended_evacuations(snapshot))
        new = self.apply(changes, now_ms)
        self.advance(snapshot.revision)
        self.listed_revision = max(self.listed_revision, snapshot.revision)
        return new

    def listed(self) -> list[str]:
        """Returns the ids of the replicas whose records exist."""
        return [
            replica_id
            for replica_id, known in self._replicas.items()
            if known.replica is not None
        ]

    def apply_listing(
        self, listed: Collection[str], revision: int, now_ms: clock.Millis
    ) -> list[Change]:
        """Removes the replicas that a complete read of the store lacked.

        A process that reads the store first after a removal can't tell the
        others of it, since it never knew the replica.

        Args:
          listed: ids of the replicas that existed at the revision, or that were
            added since.
          revision: revision of the read.
          now_ms: the time.

        Returns:
          The removals that were new.
        """
        if revision <= self.listed_revision:
            return []
        self.listed_revision = revision
        return self.apply(self._removals(listed, revision), now_ms)

    def _removals(
        self, listed: Collection[str], revision: int
    ) -> list[ReplicaChange]:
        """Returns the removals of replicas that are missing at a revision."""
        return [
            ReplicaChange(revision, replica_id, None)
            for replica_id, known in self._replicas.items()
            if replica_id not in listed
            and known.replica is not None
            and known.revision <= revision
        ]

    def _ended_evacuations(self, snapshot: Snapshot) -> list[EvacuationChange]:
        """Returns the ends of evacuations that a complete read lacks.

        Data centres whose evacuation this process never knew are included, so
        that a process that missed the end of one can't start it again here and
        learns of the end.
        """
        listed = {
            change.data_centre
            for change in snapshot.changes
            if isinstance(change, EvacuationChange)
        }
        return [
            EvacuationChange(snapshot.revision, data_centre, active=False)
            for data_centre in self.evacuated.union(self._data_centres) - listed
            if self.evacuation_revision(data_centre) <= snapshot.revision
        ]

    def changes_after(
        self, revision: int, now_ms: clock.Millis
    ) -> list[Change]:
        """Returns the current form of every item that changed later.

        Args:
          revision: revision after which the items changed.
          now_ms: the time as of which ages are given.
        """
        changes: list[Change] = []
        if self.config is not None and self.config_revision > revision:
            changes.append(ConfigChange(self.config_revision, self.config))
        for known in self.targets.values():
            if known.revision > revision:
                change = TargetChange(known.revision, known.target)
                changes.append(self.aged_change(change, now_ms))
        for replica_id, item in self._replicas.items():
            if item.revision > revision:
                changes.append(
                    ReplicaChange(
                        item.revision,
                        replica_id,
                        item.replica,
                        unreadable=item.last is None,
                    )
                )
        changes.extend(
            change
            for change in self._evacuations.values()
            if change.revision > revision
        )
        return changes

    def tick(self, now_ms: clock.Millis) -> list[str]:
        """Removes replicas whose records did not return in time.

        Returns:
          Ids of the replicas that are considered gone now.
        """
        gone = []
        kept_until_ms = self.kept_until_ms()
        for replica_id, known in list(self._replicas.items()):
            if known.missing_ms is not None and now_ms >= kept_until_ms:
                known.missing_ms = None
                known.removed_ms = now_ms
                gone.append(replica_id)
            elif (
                known.removed_ms is not None
                and now_ms - known.removed_ms > TOMBSTONE_MS
            ):
                del self._replicas[replica_id]
        return gone

    def _apply_change(
        self, change: Change, receipt: event_time.Receipt
    ) -> bool:
        match change:
            case ConfigChange():
                return self._apply_config(change)
            case TargetChange():
                return self._apply_target(change, receipt)
            case ReplicaChange():
                return self._apply_replica(change, receipt.received_ms)
            case EvacuationChange():
                return self._apply_evacuation(change)

    def _apply_evacuation(self, change: EvacuationChange) -> bool:
        known = self._evacuations.get(change.data_centre)
        if known is not None and change.revision <= known.revision:
            return False
        self._evacuations[change.data_centre] = change
        if change.active is (change.data_centre in self.evacuated):
            return False
        self.evacuated ^= {change.data_centre}
        return True

    def evacuation_revision(self, data_centre: ids.DataCentreId) -> int:
        """Returns the revision of the last start or end, 0 without any."""
        known = self._evacuations.get(data_centre)
        return 0 if known is None else known.revision

    def _apply_config(self, change: ConfigChange) -> bool:
        if change.revision <= self.config_revision:
            return False
        if change.config.version <= self.config_version:
            return False
        self.config = change.config
        self.config_revision = change.revision
        return True

    def _apply_target(
        self, change: TargetChange, receipt: event_time.Receipt
    ) -> bool:
        target = change.target
        known = self.targets.get(target.model)
        named = [] if known is None else known.named
        is_stale = known is not None and change.revision < known.revision
        for received in self._dated_versions(change, receipt):
            # A change of an older version may arrive after that of a newer one,
            # and the older version takes effect sooner. A stale read gives the
            # older version without its age and is ignored.
            if not is_stale or received.named is not None:
                named = self._merged(named, received)
        if known is not None and change.revision <= known.revision:
            known.named = named
            return False
        self.targets[target.model] = KnownTarget(target, change.revision, named)
        return True

    def _dated_versions(
        self, change: TargetChange, receipt: event_time.Receipt
    ) -> list[named_versions.NamedVersion]:
        """Returns all versions of a change, the oldest first."""
        version = change.target.version
        received = [
            self._dated_version(
                each.version, each.ages, each.outage_age_ms, receipt
            )
            for each in change.earlier
            if each.version < version
        ]
        received.append(
            self._dated_version(
                version, change.ages, change.outage_age_ms, receipt
            )
        )
        return received

    def _dated_version(
        self,
        version: int,
        ages: event_time.Ages | None,
        outage_age_ms: float | None,
        receipt: event_time.Receipt,
    ) -> named_versions.NamedVersion:
        """Returns a received version, dated by the own clock.

        If its age is not known and this process knew the store before an
        outage, the version's time counts from the end of that outage.
        """
        named = None
        if ages is not None and ages.is_valid:
            named = receipt.dated(ages)
        outage_ms = None
        outage_reported = outage_age_ms is not None
        if outage_age_ms is not None:
            outage_ms = receipt.sent_after_ms - outage_age_ms
        if named is None and self._knew_before and self._outage.known:
            outage_ms = self._outage.last_ms
            outage_reported = False
        return named_versions.NamedVersion(
            version, named, outage_ms, outage_reported
        )

    def _merged(
        self,
        versions: list[named_versions.NamedVersion],
        received: named_versions.NamedVersion,
    ) -> list[named_versions.NamedVersion]:
        merged = named_versions.merge(versions, received)
        return [self._outage.apply_to(each) for each in merged]

    def _apply_replica(self, change: ReplicaChange, now_ms: float) -> bool:
        known = self._replicas.get(change.replica_id)
        if known is not None and change.revision <= known.revision:
            return False
        if _is_earlier_start(change.replica, known):
            return False
        if change.replica is not None:
            self._replicas[change.replica_id] = KnownReplica(
                change.replica, change.revision, change.replica
            )
            return True
        last = None if known is None or change.unreadable else known.last
        item = KnownReplica(None, change.revision, last)
        if now_ms < self.kept_until_ms() and last:
            item.missing_ms = now_ms
        else:
            item.removed_ms = now_ms
        self._replicas[change.replica_id] = item
        return True


def _is_earlier_start(
    replica: fleet.Replica | None, known: KnownReplica | None
) -> bool:
    """Returns whether a record is from an earlier start than the known one."""
    if replica is None or known is None or known.last is None:
        return False
    if replica.born_ms is None or known.last.born_ms is None:
        return False
    return replica.born_ms < known.last.born_ms
