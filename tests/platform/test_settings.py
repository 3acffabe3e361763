from __future__ import annotations

import pathlib

import pytest

from marlramp.platform import settings
from marlramp.settings import node

COMMON = """\
node_name=vm-1
ip=10.1.0.40
zone=dc-1
region=north
zones.dc-1=north
zones.dc-2=south
port_range=7700,7715
seed_nodes=10.1.0.40:8000,10.2.0.37:8000
limits.link_mbps=3.8
heartbeat_ms=1200
platform.address=10.200.1.7:8007
something.new=42
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.version_ms=8000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.budget_slack=104
bounds.ttl_max_s=5
"""
ENTRY = (
    COMMON
    + """\
serves=edge,control,registry
listen.frontend=10.1.0.40:8005
listen.ready=10.1.0.40:8002
listen.control_plane=10.1.0.40:8000
listen.directory_addr=10.1.0.40:8009
"""
)
AGENT = COMMON + "serves=side\napp=10.1.0.40:8001\nservice=s\n"


def test_entry_settings_are_decoded() -> None:
    decoded = settings.decode(ENTRY)
    assert decoded.role is node.NodeRole.ENTRY
    assert decoded.entry is not None
    assert str(decoded.entry.callers) == "10.1.0.40:8005"
    assert decoded.regions == {"dc-1": "north", "dc-2": "south"}
    assert decoded.bounds.grace_ms == 8_000.0
    assert decoded.link_bytes_per_s == 475_000.0


def test_agent_settings_are_decoded() -> None:
    decoded = settings.decode(AGENT)
    assert decoded.role is node.NodeRole.AGENT
    assert str(decoded.replica) == "10.1.0.40:8001"
    assert decoded.entry is None


def test_limits_of_the_vm_are_decoded() -> None:
    text = ENTRY + "limits.memory_mb=160\nlimits.max_fds=4100\n"
    limits = settings.decode(text).vm_limits
    assert limits.memory_bytes == 160_000_000
    assert limits.sockets_max == 3_900


@pytest.mark.parametrize("text", ["", "limits.memory_mb=0\nlimits.max_fds=0\n"])
def test_limits_that_are_not_known_have_defaults(text: str) -> None:
    """Guards against a VM without memory, on which nothing is served."""
    assert settings.decode(ENTRY + text).vm_limits == node.VmLimits()


@pytest.mark.parametrize(
    "line", ["limits.memory_mb=-1", "limits.memory_mb=much", "limits.max_fds=x"]
)
def test_malformed_limits_are_reported(line: str) -> None:
    with pytest.raises(node.NodeSettingsError, match=line.partition("=")[0]):
        settings.decode(ENTRY + line + "\n")


def test_all_problems_are_reported_at_once() -> None:
    """Guards against an error that only lists the first wrong field."""
    broken = (
        ENTRY.replace("ip=10.1.0.40\n", "")
        .replace("grace_s=8", "grace_s=soon")
        .replace("listen.ready=10.1.0.40:8002", "listen.ready=nowhere")
    )
    with pytest.raises(node.NodeSettingsError) as raised:
        settings.decode(broken)
    text = "\n".join(raised.value.problems)
    assert "ip: is missing" in text
    assert "bounds.grace_s" in text
    assert "listen.ready: must be IP:PORT" in text


def test_error_names_the_missing_file(tmp_path: pathlib.Path) -> None:
    with pytest.raises(node.NodeSettingsError, match="absent"):
        settings.read(tmp_path / "absent")
