from __future__ import annotations

from marlramp.experiments import processes


def test_no_port_is_given_out_twice() -> None:
    ports = [port for _ in range(50) for port in processes.free_ports(20)]
    assert len(set(ports)) == len(ports)
