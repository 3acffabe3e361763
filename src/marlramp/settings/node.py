"""Settings of one process on a platform with its own settings format.

An adapter decodes the platform's settings file into these types. Fields that
the file may leave out, or that apply to one role only, have defaults.
"""

from __future__ import annotations

import enum

import msgspec

from marlramp import ids


class NodeRole(enum.Enum):
    """Roles of a daemon whose settings are in the platform's format."""

    ENTRY = "entry"
    AGENT = "agent"


_PORT_COUNT = 65_536


class NodeSettingsError(Exception):
    """Raised for an invalid settings file.

    Attributes:
      problems: one line for each field that is missing or invalid.
    """

    def __init__(self, problems: list[str]) -> None:
        """Creates an error that lists the problems."""
        super().__init__("; ".join(problems))
        self.problems = problems


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port; the address is not checked."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parses an address of the form "IP:PORT".

        Any non-empty text before the last colon is accepted as the IP address.

        Raises:
          ValueError: if the text has another form.
        """
        host, _, port = text.rpartition(":")
        is_port = port.isascii() and port.isdigit()
        if not host or not is_port or not 0 < int(port) < _PORT_COUNT:
            raise ValueError("must be IP:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        """Returns "host:port"."""
        return f"{self.host}:{self.port}"


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the platform requires the system to keep.

    Attributes:
      drain_ms: longest time until no request reaches a leaving replica.
      grace_ms: time from SIGTERM to SIGKILL.
      config_apply_ms: longest time until an accepted configuration is in force.
      version_ms: longest time until every request starts on a newly announced
        version.
      retry_ratio: retries per request of a service, over all processes.
      retry_window_ms: window in which retries are counted.
      retry_slack: retries allowed in a window in addition to the ratio.
      lookup_ttl_max_ms: longest time for which callers may cache addresses.
      evacuate_ms: longest time until no request reaches an evacuated data
        centre.
      cold_overshoot: factor between the request rate that a cold replica
        accepts and the number of requests that may reach it in one second.
      cold_burst: number of requests that may reach a cold replica in addition
        to that number.
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
    """Simultaneous failures under which all guarantees must hold.

    Attributes:
      vms: number of VMs.
      data_centres: number of data centres.
      regions: number of regions.
    """

    vms: int = 0
    data_centres: int = 0
    regions: int = 0


MEMORY_BYTES_DEFAULT = 300_000_000
SOCKETS_MAX_DEFAULT = 3_900


class VmLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What one process may use on its VM.

    Attributes:
      memory_bytes: resident memory beyond which the process is killed.
      sockets_max: number of sockets that it may have open.
    """

    memory_bytes: int = MEMORY_BYTES_DEFAULT
    sockets_max: int = SOCKETS_MAX_DEFAULT


class EntryAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses on which an entry listens.

    Attributes:
      callers: address for requests of callers.
      ready: address for readiness checks.
      lookup: address for callers' lookups of entries to connect to.
      control: address for links from other entries and agents.
    """

    callers: Address
    ready: Address
    lookup: Address
    control: Address


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process.

    Attributes:
      vm_id: name of this VM.
      role: role of this process.
      host: IP address of this VM.
      data_centre: data centre of this VM.
      region: region of this data centre.
      regions: region of each data centre, by data centre.
      seeds: control addresses of some entries, possibly stale.
      own_ports: first and last port available for links between processes.
      store: address of the platform's store, which holds the configuration,
        the replica list and the announced versions of weights.
      heartbeat_ms: interval at which a replica updates its record in the
        replica list.
      link_bytes_per_s: bandwidth of this VM's network link.
      bounds: limits that the system must keep.
      entry: addresses on which an entry listens, None for an agent.
      replica: address of the replica on this VM, None for an entry.
      replica_service: service of that replica.
      fault_tolerance: simultaneous failures that must be tolerated.
      vm_limits: what the process may use on this VM.
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
    vm_limits: VmLimits = VmLimits()

    @property
    def near_data_centres(self) -> frozenset[str]:
        """Data centres in the region of this VM."""
        return frozenset(
            name
            for name, region in self.regions.items()
            if region == self.region
        )
