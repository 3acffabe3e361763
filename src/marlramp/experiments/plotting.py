"""Plots of experiments, drawn by matplotlib."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot

if TYPE_CHECKING:
    import pathlib

    from marlramp.experiments import rollout


def plot_serving(report: rollout.Report, path: pathlib.Path) -> None:
    """Plots the number of replicas that serve the new version over time.

    The unit of time is the copy time, which one copy of the weights takes on a
    VM's link. The dotted line marks one copy time.
    """
    figure, axes = pyplot.subplots(figsize=(7, 4))
    times = [at for at, _ in report.serving_over_time]
    serving = [count for _, count in report.serving_over_time]
    axes.step(times, serving, where="post")
    axes.axvline(1.0, linestyle=":", color="grey")
    axes.set_xlabel("copy times since the rollout was published")
    axes.set_ylabel("replicas serving the new version")
    axes.set_title(
        f"{report.policy.value}, {report.vms} VMs, fault: {report.fault.value}"
    )
    axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
