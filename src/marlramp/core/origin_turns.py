"""When a piece that the origin did not send is looked for there again.

Load pattern: the origin is away, and once it is back all entries that lack a
piece want it at the same moment: pieces that share its link all come late, the
first with the last. So the missing pieces take turns, each as long as a piece
needs on that link. One of them looks at a time, in the order of the pieces, and
the first that finds the origin back is followed by the next when it has left.
Nobody has to tell the others: all know when the version was named.
"""

from __future__ import annotations

import bisect
from collections.abc import Sequence
import math

RANK_PIECES = 4
"""Pieces that leave the origin between the turn of an entry and that of the
next in order for the same piece: its own, and three while it comes and is told
of."""


def next_turn_ms(
    index: int,
    missing: Sequence[int],
    piece_ms: float,
    named_ms: float,
    after_ms: float,
    rank: int = 0,
) -> float:
    """Returns when a piece has its next turn.

    Args:
      index: the piece.
      missing: pieces that nobody is known to hold, in their order.
      piece_ms: time in which a piece leaves the origin.
      named_ms: when the version was named; turns are counted from then.
      after_ms: earliest time of the turn.
      rank: entries that go before this one for the piece.
    """
    place = bisect.bisect_left(missing, index)
    first_ms = named_ms + place * piece_ms
    round_ms = max(1, len(missing)) * piece_ms
    rounds = math.ceil((after_ms - first_ms) / round_ms)
    return first_ms + rounds * round_ms + rank * RANK_PIECES * piece_ms
