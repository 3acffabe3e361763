"""Settings files of the daemons that an experiment starts."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from marlramp.experiments import processes

ADMIN_KEY = "operators-only-0123456789"
TOKEN_KEY = "run-token-key-0123456789"


class AgentSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one agent and its upstream.

    Attributes:
      service: service of the upstream.
      data_centre: data centre of the agent.
      capacity: most concurrent requests.
      engine: further options of the engine stand-in.
      link_bytes_per_s: rate of the agent's link.
      reports_load: whether the upstream reports its load.
      two_versions: whether the engine holds two versions.
      checks_fencing: whether the engine rejects old fencing numbers.
    """

    service: str
    data_centre: str = "randstad"
    capacity: int = 8
    engine: dict[str, object] = {}
    link_bytes_per_s: int = 1_000_000_000
    reports_load: bool = True
    two_versions: bool = False
    checks_fencing: bool = True


class Surroundings(msgspec.Struct, frozen=True):
    """Settings that all daemons of a fleet share.

    Attributes:
      platform_url: URL of the configuration and the VM list.
      origin_url: URL of the origin of weights.
      store_url: URL of the store of weights.
      keys: keys of the links, by setting name.
    """

    platform_url: str
    origin_url: str
    store_url: str
    keys: Mapping[str, str]


def entry_text(
    shared: Surroundings,
    vm_id: str,
    data_centre: str,
    port: int,
    http_port: int,
) -> str:
    """Returns the settings of an entry.

    Args:
      shared: settings that all daemons share.
      vm_id: VM of the daemon.
      data_centre: data centre of the VM.
      port: port for links.
      http_port: port for callers.
    """
    entry = {
        "http_host": processes.HOST,
        "admin_key": ADMIN_KEY,
        "token_key": TOKEN_KEY,
    }
    common = _common_text(shared, "entry", vm_id, data_centre, port)
    return common + _table("entry", entry) + f"\nhttp_port = {http_port}\n"


def agent_text(
    shared: Surroundings,
    vm_id: str,
    spec: AgentSpec,
    port: int,
    engine_url: str,
) -> str:
    """Returns the settings of an agent.

    Args:
      shared: settings that all daemons share.
      vm_id: VM of the daemon.
      spec: settings of this agent.
      port: port for links.
      engine_url: URL of the upstream.
    """
    upstream = {"service": spec.service, "url": engine_url}
    common = _common_text(shared, "agent", vm_id, spec.data_centre, port)
    return (
        common
        + _table("upstream", upstream)
        + f"\ncapacity = {spec.capacity}"
        + f"\nlink_bytes_per_s = {spec.link_bytes_per_s}"
        + f"\nreports_load = {str(spec.reports_load).lower()}"
        + f"\nholds_two_versions = {str(spec.two_versions).lower()}"
        + f"\nchecks_fencing = {str(spec.checks_fencing).lower()}\n"
    )


def _common_text(
    shared: Surroundings, role: str, vm_id: str, data_centre: str, port: int
) -> str:
    platform = {
        "configuration_url": shared.platform_url,
        "vm_list_url": shared.platform_url,
        "origin_url": shared.origin_url,
        "weight_store_url": shared.store_url,
    }
    identity = {
        "vm_id": vm_id,
        "data_centre": data_centre,
        "member": "standbouw",
        "deployment": "fairs",
    }
    return "\n".join(
        [
            f'role = "{role}"',
            _table("identity", identity),
            _table("links", {"host": processes.HOST, **shared.keys}),
            f"port = {port}",
            _table("platform", platform),
            "vm_list_interval_ms = 1000",
            "",
        ]
    )


def _table(name: str, values: Mapping[str, str]) -> str:
    lines = [f'{key} = "{value}"' for key, value in values.items()]
    return "\n".join(["", f"[{name}]", *lines])
