"""The command-line tool `marlramp`."""

from __future__ import annotations

import sys

import cyclopts

from marlramp import __version__
from marlramp.console.commands import check
from marlramp.console.commands import cold
from marlramp.console.commands import crashes
from marlramp.console.commands import demo
from marlramp.console.commands import drain
from marlramp.console.commands import evacuations
from marlramp.console.commands import experiment
from marlramp.console.commands import explain
from marlramp.console.commands import limited
from marlramp.console.commands import limits
from marlramp.console.commands import paused
from marlramp.console.commands import reference
from marlramp.console.commands import refusals
from marlramp.console.commands import regions
from marlramp.console.commands import request
from marlramp.console.commands import rollouts
from marlramp.console.commands import status
from marlramp.console.commands import traffic
from marlramp.console.commands import vms

app = cyclopts.App(
    name="marlramp",
    help="Check settings, inspect and control a fleet, run experiments.",
    version=__version__,
)
app.command(check.check)
app.command(explain.explain)
app.command(status.status)
app.command(vms.vms)
app.command(rollouts.rollouts)
app.command(limits.limits)
app.command(refusals.refusals)
app.command(drain.drain)
app.command(demo.demo)
app.command(request.request)
app.command(traffic.traffic)
app.command(crashes.crashes)
app.command(limited.limited)
app.command(paused.paused)
app.command(evacuations.evacuations)
app.command(cold.cold)
app.command(regions.regions)
app.command(reference.reference)
app.command(experiment.app)


def main() -> None:
    """Entry point of `marlramp`."""
    sys.exit(app())
