from __future__ import annotations

import subprocess
import sys

from marlramp.experiments import processes

PRINT_PORTS = """
from marlramp.experiments import processes
print(processes.free_ports(300))
input()
"""


def test_no_port_is_given_out_twice() -> None:
    ports = [port for _ in range(50) for port in processes.free_ports(20)]
    assert len(set(ports)) == len(ports)


def test_runs_beside_each_other_get_different_ports() -> None:
    """Guards against an entry that exits because another run took its port."""
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(5)
    ]
    taken: list[str] = []
    for run in runs:
        assert run.stdout is not None
        taken += run.stdout.readline().strip("[]\n").split(", ")
    for run in runs:
        run.communicate("\n", timeout=20)
    assert len(taken) == len(set(taken)) == 1_500
