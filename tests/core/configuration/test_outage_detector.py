"""Tests that an unavailable store is distinguished from a congested link."""

from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core.configuration import outage_detector

CALL = outage_detector.SilentCall(requested_ms=5_000.0, ended_ms=6_000.0)


def sign_ms(*exchanges: tuple[float, float]) -> float | None:
    silence = outage_detector.OutageDetector()
    for requested_ms, answered_ms in exchanges:
        silence.record_answer(requested_ms, clock.Millis(answered_ms))
    return silence.outage_sign_ms(CALL)


@pytest.mark.parametrize(
    "exchanges",
    [
        [],
        [(5_050.0, 7_600.0)],
        [(4_990.0, 4_995.0)],
        [(6_010.0, 6_015.0)],
        [(5_050.0, 5_900.0)],
    ],
    ids=["none", "behind the queue", "before", "after", "too late"],
)
def test_silence_on_a_congested_link_is_no_outage(
    exchanges: list[tuple[float, float]],
) -> None:
    # Two silent calls on a congested link once counted as an outage and
    # restarted the time of versions.
    assert sign_ms(*exchanges) is None


def test_store_that_is_silent_while_others_answer_is_unavailable() -> None:
    assert sign_ms((5_050.0, 5_055.0)) == CALL.requested_ms


def test_refused_call_is_a_sign_without_an_exchange() -> None:
    silence = outage_detector.OutageDetector()
    refused = outage_detector.SilentCall(5_000.0, 5_002.0)
    assert silence.outage_sign_ms(refused) == 5_000.0


def test_connection_timeout_is_a_sign_only_with_an_exchange() -> None:
    # A queue of 0.4 s on the link suffices for a connection to time out.
    silence = outage_detector.OutageDetector()
    unopened = outage_detector.SilentCall(5_000.0, 5_400.0)
    assert silence.outage_sign_ms(unopened) is None
    silence.record_answer(5_100.0, clock.Millis(5_105.0))
    assert silence.outage_sign_ms(unopened) == 5_000.0


def test_outage_lasts_until_the_store_responds() -> None:
    silence = outage_detector.OutageDetector()
    silence.record_answer(5_050.0, clock.Millis(5_055.0))
    silence.outage_sign_ms(CALL)
    later = outage_detector.SilentCall(6_500.0, 7_500.0)
    assert silence.outage_sign_ms(later) == CALL.requested_ms
    assert silence.outage_sign_ms(None) is None
    assert silence.outage_sign_ms(later) is None


def test_another_process_is_queried_during_each_call() -> None:
    silence = outage_detector.OutageDetector()
    queried = [
        now_ms
        for now_ms in range(5_000, 6_000, 100)
        if silence.is_query_due(4_950.0, clock.Millis(now_ms))
    ]
    assert queried == [5_000, 5_400, 5_800]
    assert silence.is_query_due(5_850.0, clock.Millis(5_900.0))
    assert not silence.is_query_due(None, clock.Millis(9_000.0))
