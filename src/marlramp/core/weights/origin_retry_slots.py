"""Assigns retry slots to pieces that the origin did not send.

Load pattern: after an outage of the origin, all entries that lack a piece
request it at once. Parallel transfers split the bandwidth of the origin's link,
so that all pieces arrive late, the first one together with the last. Therefore
the missing pieces have slots in a rotation, and each slot lasts as long as a
piece takes on that link. One piece is retried at a time, in the order of the
pieces; after the first retry that succeeds, the next piece is requested when
the retried piece has left the origin. The entries need no messages to agree on
the slots, because all of them know when the version was announced. They agree
as far as they know of the same missing pieces and use an equal transfer time.
"""

from __future__ import annotations

import bisect
from collections.abc import Sequence
import math

RANK_OFFSET_PIECES = 4
"""Slots between the retry of an entry and that of the next entry in the order
for one piece: one in which the piece leaves the origin, and three in which it
arrives and the entry announces it."""


def next_slot_ms(
    index: int,
    missing: Sequence[int],
    piece_ms: float,
    named_ms: float,
    after_ms: float,
    rank: int = 0,
) -> float:
    """Returns the time of a piece's next retry slot.

    Args:
      index: index of the piece.
      missing: indexes of the pieces without a known holder, in ascending order.
      piece_ms: time that a piece takes to leave the origin.
      named_ms: when the version was announced, the start of the rotation.
      after_ms: earliest time of the slot before the delay by rank is added.
      rank: number of entries that precede this one for the piece.
    """
    position = bisect.bisect_left(missing, index)
    first_ms = named_ms + position * piece_ms
    cycle_ms = max(1, len(missing)) * piece_ms
    cycles = math.ceil((after_ms - first_ms) / cycle_ms)
    return first_ms + cycles * cycle_ms + rank * RANK_OFFSET_PIECES * piece_ms
