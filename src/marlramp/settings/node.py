"""Settings of one process whose platform gives them with its own names.

An adapter decodes the platform's settings file into these. What the platform
says (addresses, bounds) is required; what marlramp decides has defaults.
"""

from __future__ import annotations

import enum

import msgspec

from marlramp import ids


class NodeRole(enum.Enum):
    """Roles of the daemon on a platform without grants."""

    ENTRY = "entry"
    AGENT = "agent"


_PORTS = 65_536


class NodeSettingsError(Exception):
    """A settings file that cannot be used.

    Attributes:
      problems: one line for each field that is missing or wrong.
    """

    def __init__(self, problems: list[str]) -> None:
        """Records the problems."""
        super().__init__("; ".join(problems))
        self.problems = problems


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Returns the address in "IP:PORT".

        Raises:
          ValueError: if the text is something else.
        """
        host, _, port = text.rpartition(":")
        is_port = port.isascii() and port.isdigit()
        if not host or not is_port or not 0 < int(port) < _PORTS:
            raise ValueError("must be IP:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        """Returns "host:port"."""
        return f"{self.host}:{self.port}"


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Times and shares that the platform's users hold the system to.

    Attributes:
      drain_ms: until no request reaches a leaving replica.
      grace_ms: from SIGTERM to SIGKILL.
      config_apply_ms: until an accepted configuration is in force.
      version_ms: until every request begins on a newly named version.
      retry_ratio: repeats per request of a service, over all processes.
      retry_window_ms: window in which repeats are counted.
      retry_slack: repeats allowed in a window beyond the ratio.
      lookup_ttl_max_ms: longest time that callers may keep addresses.
      evacuate_ms: until no request reaches an evacuated data centre.
      cold_overshoot: multiple of the rate that a cold replica tolerates, up to
        which requests may reach it in a second.
      cold_burst: requests that may reach it beyond that.
    """

    drain_ms: float
    grace_ms: float
    config_apply_ms: float
    version_ms: float
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    lookup_ttl_max_ms: float
    evacuate_ms: float = 0.0
    cold_overshoot: float = 1.0
    cold_burst: float = 0.0


class FaultTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """What may be lost at once while all promises hold.

    Attributes:
      vms: number of VMs.
      data_centres: number of data centres.
      regions: number of regions.
    """

    vms: int = 0
    data_centres: int = 0
    regions: int = 0


class EntryAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Where an entry listens.

    Attributes:
      callers: requests of callers.
      ready: readiness checks.
      lookup: callers that ask where to connect.
      control: links of the system's other processes.
    """

    callers: Address
    ready: Address
    lookup: Address
    control: Address


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process.

    Attributes:
      vm_id: name of this VM.
      role: what this process does.
      host: IP address of this VM.
      data_centre: where this VM is.
      region: the region of the data centre.
      regions: region of each data centre.
      seeds: control addresses of some entries, possibly stale.
      own_ports: first and last port free for links between processes.
      store: address of the platform's store.
      heartbeat_ms: between two writes of a replica into the replica list.
      link_bytes_per_s: rate of this VM's link.
      bounds: what the system is held to.
      entry: where an entry listens, None for an agent.
      replica: address of the replica on this VM, None for an entry.
      replica_service: service of that replica.
      fault_tolerance: what may be lost at once.
    """

    vm_id: ids.VmId
    role: NodeRole
    host: str
    data_centre: ids.DataCentreId
    region: str
    regions: dict[str, str]
    seeds: list[Address]
    own_ports: tuple[int, int]
    store: Address
    heartbeat_ms: float
    link_bytes_per_s: float
    bounds: Bounds
    entry: EntryAddresses | None = None
    replica: Address | None = None
    replica_service: ids.ServiceId = ids.ServiceId("")
    fault_tolerance: FaultTolerance = FaultTolerance()

    @property
    def near_data_centres(self) -> frozenset[str]:
        """Data centres of the own region."""
        return frozenset(
            name
            for name, region in self.regions.items()
            if region == self.region
        )
