"""`marlramp experiment`: measurements on processes started for the purpose."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Annotated

import cyclopts
import msgspec

from marlramp import clock
from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.experiments import calls as calls_run
from marlramp.experiments import capacity as capacity_run
from marlramp.experiments import overload as overload_run
from marlramp.experiments import overload_plan
from marlramp.experiments import parts as parts_run
from marlramp.experiments import rollout as rollout_run
from marlramp.experiments import spread as spread_run
from marlramp.experiments import spread_plan
from marlramp.settings import schema

app = cyclopts.App(
    name="experiment", help="Run a measurement; needs a source checkout."
)


@app.command
def rollout(
    *,
    vms: Annotated[int, cyclopts.Parameter(name="--vms")] = 12,
    policy: rollout_run.Policy = rollout_run.Policy.SWARM,
    fault: rollout_run.Fault = rollout_run.Fault.NONE,
    copy_time_s: float = 10.0,
    origin_copies_max: float = 1.05,
    two_versions: bool = True,
    calls_per_s: float = 20.0,
    plot: pathlib.Path | None = None,
    json: admin_client.Json = False,
) -> int:
    """Measure the rollout of a version to agents with paced links.

    Args:
      vms: agents that take part.
      policy: distribution policy; all but swarm are baselines.
      fault: fault to inject midway.
      copy_time_s: time that one copy takes on a VM's link.
      origin_copies_max: the setting of the same name.
      two_versions: whether engines can hold two versions.
      calls_per_s: live calls during the rollout.
      plot: PNG or SVG file for replicas serving over time.
      json: print JSON, for scripts.
    """
    plan = rollout_run.Plan(
        vms=vms,
        policy=policy,
        fault=fault,
        copy_time_s=copy_time_s,
        origin_copies_max=origin_copies_max,
        two_versions=two_versions,
        calls_per_s=calls_per_s,
    )
    report = asyncio.run(rollout_run.run(plan))
    if plot is not None:
        from marlramp.experiments import plotting

        plotting.plot_serving(report, plot)
    if json:
        output.print_json(report)
    else:
        _print_rollout(report)
    complete = report.serving == report.survivors
    passed = complete and not report.live_calls.mixed
    return int(
        exit_codes.ExitCode.OK if passed else exit_codes.ExitCode.NOT_HELD
    )


@app.command
def calls(
    *,
    seconds: float = 8.0,
    routing: schema.Routing = schema.Routing.PREDICTED,
    limits: bool = True,
    json: admin_client.Json = False,
) -> int:
    """Measure calls under load, a flood and faulty upstreams.

    Args:
      seconds: length of each measurement.
      routing: how upstreams are chosen; all but predicted are baselines.
      limits: whether queues are bounded and calls that would miss their
        deadline are refused at once.
      json: print JSON, for scripts.
    """
    plan = calls_run.Plan(seconds=seconds, routing=routing.value, limits=limits)
    report = asyncio.run(calls_run.run(plan))
    if json:
        output.print_json(report)
        return int(exit_codes.ExitCode.OK)
    rows = [
        (
            point.name,
            point.offered_per_s,
            point.goodput_per_s,
            group.customer,
            group.priority,
            f"{100 * group.within_deadline:.1f}%",
            f"{group.summary.ttft_p50_ms:.0f}/{group.summary.ttft_p95_ms:.0f}",
            f"{group.summary.gap_p50_ms:.0f}/{group.summary.gap_p95_ms:.0f}",
            point.refusals,
            point.retries,
        )
        for point in report.points
        for group in point.groups
    ]
    columns = [
        "load",
        "offered/s",
        "goodput/s",
        "customer",
        "priority",
        "within deadline",
        "first token p50/p95 ms",
        "between tokens p50/p95 ms",
        "refusals",
        "retries",
    ]
    title = f"Calls, capacity {report.capacity_per_s} per second"
    output.print_table(title, columns, rows)
    return int(exit_codes.ExitCode.OK)


@app.command
def capacity(*, json: admin_client.Json = False) -> int:
    """Measure the slopes behind docs/CAPACITY.md; takes four minutes.

    Args:
      json: print JSON, for scripts.
    """
    report = asyncio.run(capacity_run.run())
    if json:
        output.print_json(report)
        return int(exit_codes.ExitCode.OK)
    rows = [
        (
            f.name,
            f.x,
            f.y,
            f"{f.slope:.4g}",
            f"{f.intercept:.4g}",
            f"{f.residual_max:.2g}",
        )
        for f in report.fits
    ]
    columns = ["what", "per", "unit", "slope", "at zero", "largest residual"]
    output.print_table("Slopes", columns, rows)
    facts = [
        ("settings in force, p95", f"{report.settings_p95_ms} ms"),
        ("platform calls at start", report.platform_calls_at_start),
        ("platform calls idle", f"{report.platform_calls_per_s_idle}/s"),
        ("agent memory", f"{report.agent_idle_mb} MB"),
        ("entry memory", f"{report.entry_idle_mb} MB"),
    ]
    output.print_table("Figures", ["what", "value"], facts)
    return int(exit_codes.ExitCode.OK)


@app.command
def parts(
    *,
    agents: int = 20,
    streams: int = 19,
    seconds: float = 8.0,
    json: admin_client.Json = False,
) -> int:
    """Measure an entry's processor time per relayed part.

    Args:
      agents: stand-in agents.
      streams: open streams at each agent.
      seconds: length of the measurement.
      json: print JSON, for scripts.
    """
    plan = parts_run.Plan(agents=agents, streams=streams, seconds=seconds)
    report = asyncio.run(parts_run.run(plan))
    if json:
        output.print_json(report)
    else:
        facts = list(msgspec.structs.asdict(report).items())
        output.print_table("Relayed parts", ["figure", "value"], facts)
    return int(exit_codes.ExitCode.OK)


@app.command
def overload(
    *,
    policy: overload_plan.Policy = overload_plan.Policy.SHIPPED,
    engines: int = 6,
    entries: int = 6,
    regions: int = 3,
    load: float = 1.15,
    seconds: float = 20.0,
    outage_s: float = 0.0,
    seed: int = 1,
    json: admin_client.Json = False,
) -> int:
    """Replay load against the shipped admission code; takes seconds.

    The replay runs in virtual time.

    Args:
      policy: admission policy; the baseline is send-all, which neither refuses
        requests nor queues late ones at the back.
      engines: model engines.
      entries: entries, assigned to the regions in turn.
      regions: regions; engines are assigned to them in turn too.
      load: arrival rate as a multiple of the engines' capacity.
      seconds: duration of the arrivals.
      outage_s: duration of an outage of all engines, which starts after a
        quarter of the run.
      seed: seed of the random number generators.
      json: print JSON, for scripts.
    """
    plan = overload_plan.Plan(
        policy=policy,
        engines=engines,
        entries=entries,
        regions=regions,
        load=load,
        seconds=seconds,
        outage_s=outage_s,
        seed=seed,
    )
    try:
        overload_plan.check(plan)
    except ValueError as error:
        output.print_error(str(error))
        return int(exit_codes.ExitCode.USAGE)
    timeline = overload_run.Replay(plan).run()
    if json:
        output.print_json(timeline)
        return int(exit_codes.ExitCode.OK)
    rows: list[tuple[object, ...]] = [
        (number, *msgspec.structs.astuple(second))
        for number, second in enumerate(timeline)
    ]
    rows.append(
        ("all", *msgspec.structs.astuple(overload_plan.total(timeline)))
    )
    columns = ["from second", *overload_plan.Second.__struct_fields__]
    output.print_table(f"Load replay, {policy.value}", columns, rows)
    return int(exit_codes.ExitCode.OK)


@app.command
def spread(
    *,
    agents: int = 41,
    holders: int = 0,
    relays: int = 44,
    regions: int = 3,
    away_from_s: float = 0.0,
    away_until_s: float = 0.0,
    seed: int = 1,
    json: admin_client.Json = False,
) -> int:
    """Simulate the distribution of a version in virtual time.

    The report compares it with the shortest time that the links allow.

    Args:
      agents: agents that lack the version.
      holders: further agents that hold it.
      relays: entries that relay pieces.
      regions: regions, to which agents and entries are assigned in turn.
      away_from_s: when the origin becomes unreachable, after the version is
        announced.
      away_until_s: when the origin is reachable again.
      seed: seed of the random number generators.
      json: print JSON, for scripts.
    """
    plan = spread_plan.Plan(
        agents=agents,
        holders=holders,
        relays=relays,
        regions=regions,
        origin_away_ms=(
            away_from_s * clock.MILLIS_PER_SECOND,
            away_until_s * clock.MILLIS_PER_SECOND,
        ),
        seed=seed,
    )
    try:
        spread_plan.check(plan)
    except ValueError as error:
        output.print_error(str(error))
        return int(exit_codes.ExitCode.USAGE)
    report = spread_run.play(plan)
    if json:
        output.print_json(report)
    else:
        facts = list(msgspec.structs.asdict(report).items())
        output.print_table(
            "Distribution of a version", ["figure", "value"], facts
        )
    return int(exit_codes.ExitCode.OK)


def _print_rollout(report: rollout_run.Report) -> None:
    rows = []
    for name, value in msgspec.structs.asdict(report).items():
        if name != "serving_over_time":
            rows.append((name, msgspec.to_builtins(value)))
    output.print_table("Rollout", ["figure", "value"], rows)
