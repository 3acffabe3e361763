"""Bounds the bytes that many holders have in memory together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeAlias
from typing import TypeVar

HolderT = TypeVar("HolderT")

Measure: TypeAlias = Callable[[HolderT], int]
"""Returns how many bytes a holder has now."""

NOT_EVICTABLE = float("-inf")
"""Rank of a holder that has to keep its bytes."""


class SharedBytes(Generic[HolderT]):
    """The bytes of all holders, with a limit beyond which some are evicted."""

    def __init__(
        self,
        bytes_max: int,
        measure: Measure[HolderT],
        evict: Callable[[HolderT], None],
        rank: Callable[[HolderT], float] | None = None,
        evict_to_share: float = 1.0,
    ) -> None:
        """Starts without holders.

        Args:
          bytes_max: the limit of all holders together.
          measure: returns how many bytes a holder has now; one with none is
            forgotten.
          evict: makes a holder give up its bytes.
          rank: returns how soon a holder is evicted, the highest first, or
            `NOT_EVICTABLE`; None to evict those that hold most.
          evict_to_share: part of the limit down to which holders are evicted.
        """
        self._bytes_max = bytes_max
        self._measure = measure
        self._evict = evict
        self._rank = rank or measure
        self._evict_to_share = evict_to_share
        self._sizes: dict[HolderT, int] = {}
        # An evicted holder may record itself.
        self._evicting = False
        self.total_bytes = 0

    def set_limit(self, bytes_max: int) -> None:
        """Sets the limit; it applies from the next record on."""
        self._bytes_max = bytes_max

    def record(self, holder: HolderT) -> None:
        """Records how many bytes a holder has now.

        Holders are evicted if all of them have too much.
        """
        self._update(holder)
        if self.total_bytes <= self._bytes_max or self._evicting:
            return
        self._evicting = True
        try:
            self._evict_excess()
        finally:
            self._evicting = False

    def forget(self, holder: HolderT) -> None:
        """Forgets a holder that has given up its bytes."""
        self.total_bytes -= self._sizes.pop(holder, 0)

    def fits_beside(self, size_bytes: int, fixed: Measure[HolderT]) -> bool:
        """Returns whether bytes fit beside those that can't be evicted.

        Args:
          size_bytes: the bytes that are about to be held.
          fixed: returns how many bytes of a holder can't be evicted.
        """
        kept_bytes = sum(fixed(holder) for holder in self._sizes)
        return kept_bytes + size_bytes <= self._bytes_max

    def _evict_excess(self) -> None:
        for each in list(self._sizes):
            self._update(each)
        if self.total_bytes <= self._bytes_max:
            return
        goal_bytes = self._bytes_max * self._evict_to_share
        ranks = {holder: self._rank(holder) for holder in self._sizes}
        for holder in sorted(ranks, key=ranks.__getitem__, reverse=True):
            if self.total_bytes <= goal_bytes or ranks[holder] == NOT_EVICTABLE:
                return
            self._evict(holder)
            self._update(holder)

    def _update(self, holder: HolderT) -> None:
        size = self._measure(holder)
        self.total_bytes += size - self._sizes.pop(holder, 0)
        if size:
            self._sizes[holder] = size
