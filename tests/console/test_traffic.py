from __future__ import annotations

import asyncio

import pytest

from marlramp import counters
from marlramp.console import exit_codes
from marlramp.console.commands import traffic
from marlramp.direct import metrics


def metrics_text() -> str:
    totals = counters.Counters()
    for kind, size in (("Ping", 30), ("Neighbours", 900)):
        label = f"sent_{kind}_far"
        totals.add(counters.CounterName.LINK_MESSAGES, label)
        totals.add(counters.CounterName.LINK_BYTES, label, size)
    totals.add(counters.CounterName.REFUSALS, "sent_off")
    return asyncio.run(metrics.Metrics(totals).text()).decode()


def test_rows_are_read_from_the_metrics() -> None:
    rows = traffic.rows_of(metrics_text())
    assert [row.kind for row in rows] == ["Neighbours", "Ping"]
    assert rows[0] == traffic.Row(
        kind="Neighbours", way="sent", place="far", messages=1, size_bytes=900
    )


@pytest.mark.parametrize(
    ("url", "code"),
    [
        ("10.0.0.1:9464", exit_codes.ExitCode.USAGE),
        ("http://127.0.0.1:1/metrics", exit_codes.ExitCode.UNREACHABLE),
    ],
)
def test_unusable_address_is_reported(
    url: str, code: exit_codes.ExitCode, capsys: pytest.CaptureFixture[str]
) -> None:
    assert traffic.traffic(url) == code
    assert url in capsys.readouterr().err
