from __future__ import annotations

import asyncio

import pytest

from marlramp import clock
from marlramp import counters
from marlramp.direct import metrics
from marlramp.direct import page_server
from marlramp.experiments import processes
from marlramp.settings import node


async def get(port: int, path: str) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".encode()
    )
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/metrics?x=1", b"200"),
        ("/other", b"404"),
        ("/broken", b"500"),
        ("/stuck", b"503"),
    ],
)
def test_pages_are_found_by_their_path(
    path: str, status: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def broken(_: str) -> page_server.Page:
        raise ValueError("a page that fails")

    async def stuck(_: str) -> page_server.Page:
        await asyncio.sleep(60)
        raise AssertionError

    if path == "/stuck":
        monkeypatch.setattr(page_server, "PAGE_MAX_MS", 100.0)

    async def main() -> bytes:
        totals = counters.Counters()
        totals.add(counters.CounterName.REFUSALS, "late", 3)
        pages = {
            **page_server.metrics_pages(metrics.Metrics(totals).text),
            "/broken": broken,
            "/stuck": stuck,
        }
        (port,) = processes.free_ports(1)
        address = node.Address("127.0.0.1", port)
        server = page_server.PageServer(
            pages, {"pages": address}, totals, clock.SystemClock()
        )
        (opening,) = server.openings()
        await opening.start(opening.host, opening.port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        async with asyncio.timeout(3):
            answer = await get(port, path)
            writer.write(b"GET /other HTTP/1.1\r\nhost: a\r\n")
            await asyncio.sleep(0.05)
            server.stop()
            # A request that arrives meanwhile is the last on its connection.
            writer.write(b"\r\n")
            assert b"connection: close" in await reader.read()
        writer.close()
        return answer

    answer = asyncio.run(main())
    assert answer.split(b" ", 2)[1] == status
    if status == b"200":
        assert b"marlramp_refusals_total{" in answer


def test_page_whose_caller_left_is_counted() -> None:
    totals = counters.Counters()
    started = asyncio.Event()

    async def wait(_: str) -> page_server.Page:
        started.set()
        await asyncio.sleep(60)
        raise AssertionError

    async def main() -> None:
        (port,) = processes.free_ports(1)
        server = page_server.PageServer(
            {"/wait": wait},
            {"pages": node.Address("127.0.0.1", port)},
            totals,
            clock.SystemClock(),
        )
        (opening,) = server.openings()
        await opening.start(opening.host, opening.port)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n")
        async with asyncio.timeout(3):
            await started.wait()
            writer.transport.abort()
            while not totals.total(
                counters.CounterName.PAGES_UNANSWERED, "caller_left"
            ):
                await asyncio.sleep(0.01)
        server.stop()

    asyncio.run(main())


def test_latencies_before_the_first_scrape_are_exported() -> None:
    async def main() -> bytes:
        recorded = metrics.Metrics(counters.Counters())
        recorded.record_answer(12.0)
        recorded.record_first_event(7.0)
        return await recorded.text()

    text = asyncio.run(main())
    assert b"marlramp_answer_milliseconds_count" in text
    assert b"marlramp_first_event_milliseconds_count" in text
