"""How the swarm behaves on the users' platform, with reasons."""

from __future__ import annotations

from marlramp.core import swarm

TAKEOVER_MS = 2_200.0
"""Wait per rank before another agent draws a piece from the origin: the time
in which one copy leaves it. With less, pieces that wait for their turn are
drawn twice, and the first copy is whole later."""

TAKEOVER_MAX_MS = 1_200.0
"""Most that a wait derived from a slow pass grows to."""

ORIGIN_COPIES_MAX = 2.0
"""Copies drawn from the origin without a fault: its link is idle after the
first, and agents that load in later turns come by their pieces sooner."""

ORIGIN_WINDOW = 8
"""Pieces on their way from the origin at once: each comes soon and is passed on
while the next ones leave. Of 32 that share its link the first is there after
half of a copy's time."""

DOWNLOADS_MAX = 12
"""Pieces on their way from neighbours at once."""

IMPORT_TAKEOVER_MS = 3_200.0
"""Wait per rank before another agent brings a piece into its region. It is
longer than most imports take: with 2 s, 4 copies crossed between three regions
where 2 are needed. A dead agent loses its rank at once."""

RARE_WAIT_MS = 2_200.0
"""Wait per rank before a piece whose only holder has a slow link is drawn
again: 2.2 s of the 8 s that a version may take, and longer than a piece has
one holder while links keep their rate."""

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
