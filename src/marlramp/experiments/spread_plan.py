"""Plan, report and time limit of a version's simulated distribution."""

from __future__ import annotations

import msgspec

from marlramp.core.weights import rollout_limit
from marlramp.direct.weights import piece_relay

HEARD_WITHIN_MS = 150.0
"""Time within which all agents learn of a new version."""


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a simulation.

    Attributes:
      agents: agents that lack the version.
      holders: further agents that hold all of it.
      relays: entries that relay pieces, 0 to use only agents.
      relay_bytes_per_s: rate of an entry's link, each way.
      regions: regions, to which agents and entries are assigned in turn.
      pieces: number of pieces of the version.
      piece_bytes: size of a piece.
      link_bytes_per_s: rate of an agent's link, each way.
      origin_bytes_per_s: rate of the origin's link.
      region_bytes_per_s: rate between two regions, each way.
      live_share: part of an agent's link that outgoing live answers use.
      relays_lost: number of entries that lose power.
      relays_lost_ms: when they do, after the version is announced.
      origin_away_ms: when the origin becomes unreachable and when it returns,
        after the version is announced.
      slow_share: part of the agents whose links are slower.
      slow_factor: divisor of the rate of the slower links.
      heard_within_ms: time within which all agents learn of the version.
      seed: seed of the random number generators.
    """

    agents: int = 41
    holders: int = 0
    relays: int = 44
    relay_bytes_per_s: float = 2_500_000.0
    regions: int = 3
    pieces: int = 64
    piece_bytes: int = 32_768
    link_bytes_per_s: float = 475_000.0
    origin_bytes_per_s: float = 742_500.0
    region_bytes_per_s: float = 1_562_500.0
    live_share: float = 0.06
    relays_lost: int = 0
    relays_lost_ms: float = 0.0
    origin_away_ms: tuple[float, float] = (0.0, 0.0)
    slow_share: float = 0.0
    slow_factor: float = 1.0
    heard_within_ms: float = HEARD_WITHIN_MS
    seed: int = 1

    @property
    def copy_bytes(self) -> int:
        """Size of the version."""
        return self.pieces * self.piece_bytes


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a simulation.

    Attributes:
      first_whole_ms: when the first agent held all pieces.
      half_whole_ms: when half of the agents did.
      last_whole_ms: when all agents did.
      limit_ms: earliest time at which the links allow all agents to do so.
      last_seen_ms: when each piece was held by at least one agent.
      last_first_piece_ms: when every agent held at least one piece.
      origin_copies: copies sent by the origin.
      region_copies: copies that crossed between regions, for each region
        beyond the first.
      live_wait_ms: mean time that live answers were queued at the agents' links
        during the distribution.
      live_wait_p99_ms: 99th percentile of that time.
      prompt_wait_ms: mean time that incoming live requests were queued.
      prompt_wait_p99_ms: 99th percentile of that time.
      up_busy: part of the time in which an agent's outgoing link was busy.
      down_busy: part of the time in which its incoming link was busy.
    """

    first_whole_ms: float
    half_whole_ms: float
    last_whole_ms: float
    limit_ms: float
    last_seen_ms: float
    last_first_piece_ms: float
    origin_copies: float
    region_copies: float
    live_wait_ms: float
    live_wait_p99_ms: float
    prompt_wait_ms: float
    prompt_wait_p99_ms: float
    up_busy: float
    down_busy: float


def check(plan: Plan) -> None:
    """Checks a plan.

    Raises:
      ValueError: if the plan is invalid; the message says why.
    """
    if plan.agents < 1:
        raise ValueError("agents must be at least 1")
    if plan.holders < 0 or plan.relays < 0:
        raise ValueError("holders and relays must not be negative")
    if not 0 <= plan.relays_lost <= plan.relays:
        raise ValueError("relays_lost must be between 0 and relays")
    if plan.regions < 1:
        raise ValueError("regions must be at least 1")
    from_ms, until_ms = plan.origin_away_ms
    if not 0.0 <= from_ms <= until_ms:
        raise ValueError(
            "origin_away_ms must not be negative or end before it starts"
        )


def limit_of(plan: Plan) -> rollout_limit.Limit:
    """Returns the earliest times at which the links allow full copies."""
    free_share = 1.0 - plan.live_share
    return rollout_limit.limit(
        rollout_limit.Rollout(
            missing_bytes=plan.copy_bytes,
            origin_bytes=0 if plan.holders else plan.copy_bytes,
            origin_bytes_per_s=plan.origin_bytes_per_s,
            down_bytes_per_s=plan.link_bytes_per_s,
            up_bytes_per_s=plan.link_bytes_per_s * free_share,
            vms=plan.agents,
            holders=plan.holders,
            relay_bytes_per_s=plan.relays
            * plan.relay_bytes_per_s
            * piece_relay.LINK_SHARE,
        )
    )
