"""`marlramp demo`: a short end-to-end run."""

from __future__ import annotations

import asyncio

from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.experiments import demo as demo_run


def demo(*, json: admin_client.Json = False) -> int:
    """Run stand-ins, entries and agents, and roll out a version under load.

    Args:
      json: print JSON, for scripts.
    """
    result = asyncio.run(demo_run.run())
    if json:
        output.print_json(result)
    else:
        _print(result)
    if result.problems:
        return int(exit_codes.ExitCode.NOT_HELD)
    return int(exit_codes.ExitCode.OK)


def _print(result: demo_run.DemoResult) -> None:
    rows = [(vm, before, after) for vm, (before, after) in result.vms.items()]
    output.print_table("Versions served", ["VM", "before", "after"], rows)
    calls = result.calls
    facts = [
        ("live calls answered completely", f"{calls.whole} of {calls.sent}"),
        ("answers from mixed versions", str(calls.mixed)),
        ("versions that answered", ", ".join(result.versions)),
        ("first token, p95", f"{calls.ttft_p95_ms:.0f} ms"),
        ("time to all replicas", f"{result.time_to_replicas_s:.1f} s"),
        ("origin copies", f"{result.origin_copies:.2f}"),
        ("executions of the confirmation sent twice", str(result.plain_runs)),
    ]
    output.print_table("Rollout", ["what", "value"], facts)
    for problem in result.problems:
        output.print_error(problem)
