from __future__ import annotations

import pytest

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.direct.calls import wire
from marlramp.platform import headers
from marlramp.shell import http1_client
from marlramp.shell import http1_server

CODEC = headers.PlatformCallCodec()
DISPATCH = wire.Dispatch(
    replica_id="i-1",
    wait_ms=1_234.5,
    customer_id=ids.CustomerId("c"),
    weights=2,
    priority=None,
    resume_after="",
)


def request(*extra: tuple[bytes, bytes]) -> http1_server.Request:
    return http1_server.Request(
        method="POST",
        target=b"/a/b?q=1",
        headers=[(b"host", b"A.example:80"), (b"x-attempt-id", b"id"), *extra],
        body=b"body",
        first_byte_ms=clock.Millis(0.0),
        received_ms=clock.Millis(0.0),
        keep_alive=True,
    )


def head_lines(head: bytes) -> dict[bytes, bytes]:
    lines = head.split(b"\r\n")[1:-2]
    return {
        name: value
        for name, _, value in (line.partition(b": ") for line in lines)
    }


def test_request_headers_are_decoded() -> None:
    info = CODEC.read(
        request(
            (b"x-token-usage", b"1460,80"),
            (b"x-length-hint", b"55"),
            (b"x-deadline-ms", b"600"),
        )
    )
    assert info.host == "a.example"
    assert info.path == "/a/b"
    assert (info.prompt_tokens, info.output_tokens_max) == (1460, 80)
    assert info.output_tokens_hint == 55
    assert info.wait_ms == 600.0
    assert info.shared_parts == ()


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"5c1e07a2:800,91BD3F06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"5c1e07a2, 5c1e07a2:3 ,91bd3f06", ("5c1e07a2",)),
        (b"e4402b7d:250", ()),
        (b"5c1e07a2:800,not hexadecimal:410,e4402b7d:250", ()),
        (b",,", ()),
        (b"a" * 33 + b":1,b:2", ()),
        (
            b",".join(b"%x:1" % n for n in range(40)),
            tuple(f"{n:x}" for n in range(wire.SHARED_PARTS_MAX)),
        ),
    ],
)
def test_all_prompt_parts_but_the_last_are_decoded(
    value: bytes, parts: tuple[str, ...]
) -> None:
    """Guards against ids from malformed lists and lists without bounds."""
    info = CODEC.read(request((b"x-prefix-hash", value)))
    assert info.shared_parts == parts


@pytest.mark.parametrize(
    ("name", "value"),
    [(b"x-token-usage", b"many"), (b"x-deadline-ms", b"soon")],
)
def test_malformed_header_is_an_invalid_request(
    name: bytes, value: bytes
) -> None:
    with pytest.raises(errors.CallError) as raised:
        CODEC.read(request((name, value)))
    assert raised.value.status == 400


def test_headers_of_the_system_replace_those_of_the_caller() -> None:
    """Guards against callers that set the customer, the replica or a path."""
    sent = request(
        (b"authorization", b"Bearer secret"),
        (b"x-tenant", b"somebody-else"),
        (b"x-expect-replica", b"i-9"),
        (b"x-expect-version", b"1"),
        (b"path", b"10.0.0.1:80=0-16"),
        (b"connection", b"keep-alive, x-hop"),
        (b"x-hop", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"x-model", b"m"),
    )
    lines = head_lines(CODEC.head(sent, DISPATCH))
    assert b"secret" not in CODEC.head(sent, DISPATCH)
    assert lines[b"x-tenant"] == b"c"
    assert lines[b"x-expect-replica"] == b"i-1"
    assert lines[b"x-expect-version"] == b"2"
    assert lines[b"x-deadline-ms"] == b"1234"
    assert lines[b"content-length"] == b"4"
    assert lines[b"x-model"] == b"m"
    assert not {b"path", b"x-hop", b"transfer-encoding"} & set(lines)


def test_resumed_stream_names_the_last_event() -> None:
    sent = request((b"last-event-id", b"3"))
    assert head_lines(CODEC.head(sent, DISPATCH))[b"last-event-id"] == b"3"
    resumed = wire.Dispatch(
        replica_id="i-1",
        wait_ms=1.0,
        customer_id=None,
        weights=None,
        priority=None,
        resume_after="9",
    )
    assert head_lines(CODEC.head(sent, resumed))[b"last-event-id"] == b"9"


def test_answer_of_another_request_is_detected() -> None:
    call = CODEC.read(request())
    head = http1_client.ResponseHead(200, [(b"x-attempt-id", b"other")])
    assert not CODEC.answer(head, call).matches_request


def test_refusal_is_detected_by_status_or_header() -> None:
    call = CODEC.read(request())
    for head in (
        http1_client.ResponseHead(421, []),
        http1_client.ResponseHead(503, [(b"x-not-executed", b"1")]),
    ):
        assert CODEC.answer(head, call).not_run
    assert not CODEC.answer(http1_client.ResponseHead(503, []), call).not_run


def decoded_limit(*values: bytes) -> tuple[float | None, str]:
    head = http1_client.ResponseHead(
        200, [(b"server-limit", value) for value in values]
    )
    answer = CODEC.answer(head, CODEC.read(request()))
    return answer.limit_per_s, answer.limit_unreadable


def test_rate_limit_is_decoded_and_forwarded() -> None:
    assert decoded_limit() == (None, "")
    assert decoded_limit(b"1.6") == (1.6, "")
    assert decoded_limit(b"0") == (0.0, "")
    assert decoded_limit(b"3", b"1.5") == (1.5, "")
    assert decoded_limit(b"3, 2") == (2.0, "")
    head = http1_client.ResponseHead(200, [(b"server-limit", b"2")])
    answer = CODEC.answer(head, CODEC.read(request()))
    assert (b"server-limit", b"2") in answer.headers


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        (b"-1", "-1"),
        (b"nan", "nan"),
        (b"inf", "inf"),
        (b"1e999", "1e999"),
        (b"many", "many"),
        (b"", "empty"),
    ],
)
def test_invalid_rate_limit_is_reported_separately(
    value: bytes, shown: str
) -> None:
    """Guards against a bad value that hides a valid one or counts as a rate."""
    assert decoded_limit(value) == (None, shown)
    assert decoded_limit(value, b"2") == (2.0, shown)


def test_retry_time_and_leaving_are_decoded() -> None:
    answer = CODEC.answer(
        http1_client.ResponseHead(
            503,
            [
                (b"x-not-executed", b"1"),
                (b"retry-after", b"2.5"),
                (b"server-leaving", b"1"),
            ],
        ),
        CODEC.read(request()),
    )
    assert answer.retry_after_ms == 2_500.0
    assert answer.leaving


@pytest.mark.parametrize("value", [b"0", b"", b"yes"])
def test_values_other_than_1_do_not_announce_leaving(value: bytes) -> None:
    head = http1_client.ResponseHead(200, [(b"server-leaving", value)])
    assert not CODEC.answer(head, CODEC.read(request())).leaving


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], (None, "")),
        ([b"0"], (0.0, "")),
        ([b"1500.5"], (1_500.5, "")),
        ([b"300000"], (300_000.0, "")),
        ([b"300001"], (None, "300001")),
        ([b"-1"], (None, "-1")),
        ([b"nan"], (None, "nan")),
        ([b"inf"], (None, "inf")),
        ([b"soon"], (None, "soon")),
        ([b""], (None, "empty")),
        ([b"10", b"20"], (20.0, "")),
    ],
)
def test_remaining_cold_time_is_decoded(
    values: list[bytes], expected: tuple[float | None, str]
) -> None:
    head = http1_client.ResponseHead(
        200, [(b"x-cold-ms", value) for value in values]
    )
    answer = CODEC.answer(head, CODEC.read(request()))
    assert (answer.cold_left_ms, answer.cold_unreadable) == expected
