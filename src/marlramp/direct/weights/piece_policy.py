"""Parameters of the swarm for the users' platform."""

from __future__ import annotations

from marlramp.core.weights import swarm

TAKEOVER_MS = 2_200.0
"""Delay per rank before another agent fetches a piece from the origin: the time
in which one copy leaves the origin. With a shorter delay, pieces that still
wait to be fetched are fetched twice, and the first copy is complete later."""

TAKEOVER_MAX_MS = 1_200.0
"""Limit to which the delay per rank grows while pieces arrive slowly."""

ORIGIN_COPIES_MAX = 2.0
"""Copies that are fetched from the origin in the absence of faults. Its link is
idle after the first copy, and with a second one the agents that load later
receive their pieces sooner."""

ORIGIN_WINDOW = 8
"""Pieces that are in flight from the origin at once. With few pieces, each
arrives soon and is passed on while the next ones leave. If 32 pieces share the
origin's link, the first one arrives after half of the time of a copy."""

DOWNLOADS_MAX = 12
"""Pieces that are in flight from neighbours at once."""

IMPORT_TAKEOVER_MS = 3_200.0
"""Delay per rank before another agent imports a piece into its region. It is
longer than most imports take: with 2 s, 4 copies crossed between three regions
where 2 are needed. A dead agent loses its rank at once."""

RARE_WAIT_MS = 2_200.0
"""Delay per rank before a piece whose only holder has a slow link is fetched
from the origin again: 2.2 s of the 8 s that a rollout may take, and longer than
a piece has a single holder while the links keep their rate."""

POLICY = swarm.SwarmPolicy(
    ORIGIN_COPIES_MAX,
    TAKEOVER_MS,
    in_flight_max=DOWNLOADS_MAX,
    origin_in_flight_max=1,
    origin_window=ORIGIN_WINDOW,
    credits_per_peer=2,
    takeover_max_ms=TAKEOVER_MAX_MS,
    import_takeover_ms=IMPORT_TAKEOVER_MS,
    rare_wait_ms=RARE_WAIT_MS,
)
