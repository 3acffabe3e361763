"""Tells a store that is away from an own link that is full.

Both look alike to a call: nothing comes. A link carries what was sent in turn.
So an answer of another process to a question that was sent after the call, and
that came well before the call was given up, shows that the call had left and
that an answer of the store would have come too.
"""

from __future__ import annotations

import collections

import msgspec

from marlramp import clock

SPREAD_MS = 200.0
"""By how much an answer of the store may come later than one of another process
that was asked after it; the store's usual answer takes 4 ms."""

ASK_MS = 400.0
"""Between two questions during one call: so long a call is tried for at least,
as opening a connection is given up then."""

EXCHANGES_KEPT = 16
"""Answers that are kept, the newest ones: those of six seconds."""


class SilentCall(msgspec.Struct, frozen=True):
    """A call that the store gave no answer to.

    Attributes:
      asked_ms: when it was sent.
      ended_ms: when it was given up, or failed.
    """

    asked_ms: float
    ended_ms: float


class _Exchange(msgspec.Struct, frozen=True):
    asked_ms: float
    answered_ms: float


class StoreSilence:
    """Decides whether calls without an answer are a sign of an outage."""

    def __init__(self) -> None:
        """Has seen neither calls nor answers."""
        self._exchanges: collections.deque[_Exchange] = collections.deque(
            maxlen=EXCHANGES_KEPT
        )
        self._question_ms = float("-inf")
        self._sign_ms: float | None = None

    def is_question_due(
        self, asked_ms: float | None, now_ms: clock.Millis
    ) -> bool:
        """Returns whether to ask another process now, and notes that it is.

        Args:
          asked_ms: when the call was sent that is under way after one that
            failed, None if there is none.
          now_ms: the time.
        """
        if asked_ms is None:
            return False
        asked = self._question_ms >= asked_ms
        if asked and now_ms - self._question_ms < ASK_MS:
            return False
        self._question_ms = now_ms
        return True

    def note_answer(self, asked_ms: float, now_ms: clock.Millis) -> None:
        """Takes that another process answered a question.

        Args:
          asked_ms: when the question was sent.
          now_ms: the time.
        """
        self._exchanges.append(_Exchange(asked_ms, now_ms))

    def sign_ms(self, call: SilentCall | None) -> float | None:
        """Returns a reading at which the store served this process not.

        Args:
          call: the last call, None if it was answered.

        Returns:
          The reading, None if nothing shows that.
        """
        if call is None:
            self._sign_ms = None
        elif self._is_shown(call):
            self._sign_ms = call.asked_ms
        return self._sign_ms

    def _is_shown(self, call: SilentCall) -> bool:
        by_ms = call.ended_ms - SPREAD_MS
        if by_ms <= call.asked_ms:
            # The link brought a refusal or a reset at once.
            return True
        return any(
            call.asked_ms <= each.asked_ms and each.answered_ms <= by_ms
            for each in self._exchanges
        )
