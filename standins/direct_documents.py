"""Configuration documents and settings files of the stand-in platform.

The direct path reads the configuration from the platform's store and the
settings from a file per process.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

STORE_PORT = 8007
REPLICA_PORT = 8001
MODEL = "m"
SERVICE = "pool"
DESK_SERVICE = "desk"
HOST = "fleet.example"
KEY = "secret-key"
BOUND_KEY = "bound-key"
"""API key of the customer restricted by `Constraints.customer_regions`."""

PIECES = 8
PIECE_BYTES = 32_768
LOAD_S = 0.1
"""Time an engine takes to load staged pieces."""

DATA_CENTRE = "dc-1"
REGIONS: Mapping[str, str] = {DATA_CENTRE: "north"}
"""Region of each data centre of a deployment with one data centre."""

HEARTBEAT_MS = 1_200.0
EVACUATE_MS = 5_000.0
COLD_OVERSHOOT = 1.5
COLD_BURST = 5.0


class Constraints(msgspec.Struct, frozen=True, kw_only=True):
    """Placement constraints of a deployment.

    Attributes:
      route_regions: allowed regions by route name.
      customer_regions: allowed regions of the customer with `BOUND_KEY`, None
        to configure no such customer.
      cold_start_s: cold period of a replica after a start, 0 for none.
      cold_per_s: requests per second that a cold replica can handle.
    """

    route_regions: Mapping[str, list[str]] = {}
    customer_regions: list[str] | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0

    def apply(self, config: dict[str, object]) -> None:
        """Adds the constraints to a configuration in place."""
        for route in _items(config, "route_table"):
            if regions := self.route_regions.get(str(route["name"])):
                route["allowed_regions"] = regions
        for service in _items(config, "services"):
            if self.cold_start_s and "upstream" not in service:
                service["cold_start_s"] = self.cold_start_s
                service["cold_per_s"] = self.cold_per_s
        if self.customer_regions is not None:
            _items(config, "tenants").append(
                {
                    "name": "bound",
                    "api_keys": [BOUND_KEY],
                    "priority": 1,
                    "allowed_regions": self.customer_regions,
                }
            )


def _items(config: dict[str, object], name: str) -> list[dict[str, object]]:
    found = config[name]
    assert isinstance(found, list)
    return found


def _plain_route(name: str, kind: str) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 2_500,
        "target_latency_ms": 200,
        "service": DESK_SERVICE,
        "max_attempts": 2,
    }


def configuration(
    origin: str,
    version: int = 1,
    keys: list[str] | None = None,
    constraints: Constraints | None = None,
    caller_limits: Mapping[str, int] | None = None,
) -> dict[str, object]:
    """Returns a configuration with one streaming and two plain routes.

    Args:
      origin: address of the origin of weights.
      version: version of the configuration.
      keys: API keys of its customer, None for `KEY` alone.
      constraints: placement constraints, None for no constraints.
      caller_limits: limits on callers that differ from the defaults.
    """
    config: dict[str, object] = {
        "version": version,
        "route_table": [
            _plain_route("order", "non_idempotent"),
            _plain_route("stock", "idempotent"),
            {
                "name": "r",
                "host": HOST,
                "path_prefix": "/chat/",
                "route_kind": "streaming",
                "timeout_ms": 6_000,
                "target_latency_ms": 400,
                "target_itl_ms": 400,
                "service": SERVICE,
                "max_attempts": 2,
                "resumable": True,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "max_conns": 64,
                "runtime": {
                    "slots": 16,
                    "pass_steps": 5,
                    "step_ms": 4.0,
                    "read_per_s": 20_700.0,
                    "kv_capacity": 317_000,
                    "layers": 16,
                    "blocks": PIECES,
                    "block_bytes": PIECE_BYTES,
                    "model_list": [{"name": MODEL, "warmup_s": LOAD_S}],
                },
            },
            {"name": DESK_SERVICE, "max_conns": 64},
            {"name": "origin", "upstream": origin, "max_conns": 48},
        ],
        "limits": dict(caller_limits or {}),
        "tenants": [{"name": "c", "api_keys": keys or [KEY], "priority": 1}],
    }
    if constraints is not None:
        constraints.apply(config)
    return config


def evacuation_key(data_centre: str) -> str:
    """Returns the store key that marks a data centre as evacuated."""
    return f"op/evacuate/{data_centre}"


class RetryBudget(msgspec.Struct, frozen=True, kw_only=True):
    """The retries of each service that all entries together may send.

    Attributes:
      ratio: retries per request.
      slack: further retries in a window.
      window_s: length of the window.
    """

    ratio: float = 0.2
    slack: int = 104
    window_s: int = 10


RETRY_BUDGET = RetryBudget()


class VmLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What one process may use on its VM.

    Attributes:
      memory_mb: memory in megabytes.
      descriptors: number of open descriptors, of which the platform reserves
        `FILE_DESCRIPTORS` for files.
    """

    memory_mb: int = 300
    descriptors: int = 4_100


FILE_DESCRIPTORS = 200
VM_LIMITS = VmLimits()


def settings_text(
    name: str,
    host: str,
    *,
    seeds: list[str],
    store: str,
    entry: bool,
    replica_port: int = REPLICA_PORT,
    data_centre: str = DATA_CENTRE,
    regions: Mapping[str, str] = REGIONS,
    constrained: bool = False,
    retry_budget: RetryBudget = RETRY_BUDGET,
    vm_limits: VmLimits = VM_LIMITS,
) -> str:
    """Returns the content of the settings file of one process.

    Args:
      name: name of its VM.
      host: address of its VM.
      seeds: hosts of entries.
      store: address of the store.
      entry: whether the process is an entry; otherwise it is an agent.
      replica_port: port of the engine beside an agent.
      data_centre: data centre of its VM.
      regions: region by data centre.
      constrained: whether to include the bounds of placement constraints.
      retry_budget: the retries that are allowed.
      vm_limits: what the process may use on its VM.
    """
    lines = [
        f"node_name={name}",
        f"ip={host}",
        f"zone={data_centre}",
        f"region={regions[data_centre]}",
        *(f"zones.{name}={region}" for name, region in regions.items()),
        "port_range=7700,7715",
        "seed_nodes=" + ",".join(f"{seed}:8000" for seed in seeds),
        "limits.link_mbps=1000",
        f"limits.memory_mb={vm_limits.memory_mb}",
        f"limits.max_fds={vm_limits.descriptors}",
        f"heartbeat_ms={HEARTBEAT_MS:.0f}",
        f"platform.address={store}",
        "bounds.drain_ms=2000",
        "bounds.grace_s=8",
        "bounds.config_apply_ms=2000",
        "bounds.version_ms=4000",
        f"bounds.retry_ratio={retry_budget.ratio}",
        f"bounds.retry_window_s={retry_budget.window_s}",
        f"bounds.budget_slack={retry_budget.slack}",
        "bounds.ttl_max_s=5",
    ]
    if constrained:
        lines += [
            f"bounds.evacuate_ms={EVACUATE_MS:.0f}",
            f"bounds.cold_overshoot={COLD_OVERSHOOT}",
            f"bounds.cold_burst={COLD_BURST}",
            "fault_tolerance.max_node_loss=2",
            "fault_tolerance.zones=1",
            "fault_tolerance.max_region_loss=0",
        ]
    if entry:
        lines += [
            "serves=edge,control,registry",
            f"listen.frontend={host}:8005",
            f"listen.ready={host}:8002",
            f"listen.control_plane={host}:8000",
            f"listen.directory_addr={host}:8009",
        ]
    else:
        lines += ["serves=side", f"app={host}:{replica_port}"]
    return "\n".join(lines) + "\n"
