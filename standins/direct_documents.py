"""What the stand-in of the direct path's platform tells its processes.

The configuration that lies in its store, and the settings files that it writes.
"""

from __future__ import annotations

STORE_PORT = 8007
REPLICA_PORT = 8001
MODEL = "m"
SERVICE = "pool"
DESK_SERVICE = "desk"
HOST = "fleet.example"
KEY = "secret-key"
PIECES = 8
PIECE_BYTES = 32_768
LOAD_S = 0.1
"""Time that an engine takes to load staged pieces."""


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
    origin: str, version: int = 1, keys: list[str] | None = None
) -> dict[str, object]:
    """Returns a configuration with a streaming and two plain routes.

    Args:
      origin: address of the origin of weights.
      version: its version.
      keys: keys of its customer, else `KEY` alone.
    """
    return {
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
        "limits": {},
        "tenants": [{"name": "c", "api_keys": keys or [KEY], "priority": 1}],
    }


def settings_text(
    name: str,
    host: str,
    *,
    seeds: list[str],
    store: str,
    entry: bool,
    replica_port: int = REPLICA_PORT,
) -> str:
    """Returns the platform's settings file of one process.

    Args:
      name: name of its VM.
      host: address of its VM.
      seeds: hosts of entries.
      store: address of the store.
      entry: whether it is an entry, else an agent.
      replica_port: port of the engine beside an agent.
    """
    lines = [
        f"node_name={name}",
        f"ip={host}",
        "zone=dc-1",
        "region=north",
        "zones.dc-1=north",
        "port_range=7700,7715",
        "seed_nodes=" + ",".join(f"{seed}:8000" for seed in seeds),
        "limits.link_mbps=1000",
        "heartbeat_ms=1200",
        f"platform.address={store}",
        "bounds.drain_ms=2000",
        "bounds.grace_s=8",
        "bounds.config_apply_ms=2000",
        "bounds.version_ms=4000",
        "bounds.retry_ratio=0.2",
        "bounds.retry_window_s=10",
        "bounds.budget_slack=104",
        "bounds.ttl_max_s=5",
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
