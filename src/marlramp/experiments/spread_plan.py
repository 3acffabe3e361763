"""What a spread of a version in virtual time plays, measures and aims at."""

from __future__ import annotations

import msgspec

from marlramp.core.weights import rollout_limit
from marlramp.direct.weights import piece_relay

HEARD_WITHIN_MS = 150.0
"""Agents hear the name of a version within this."""


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What to play.

    Attributes:
      agents: agents that lack the version.
      holders: further agents that hold all of it.
      relays: entries that relay pieces, 0 for agents alone.
      relay_bytes_per_s: rate of an entry's link, each way.
      regions: regions in which agents lie by turns.
      pieces: pieces of the version.
      piece_bytes: size of a piece.
      link_bytes_per_s: rate of an agent's link, each way.
      origin_bytes_per_s: rate of the origin's link.
      region_bytes_per_s: rate between two regions, each way.
      live_share: part of an agent's link on which live answers leave.
      relays_lost: entries that lose power.
      relays_lost_ms: when they do, after the name.
      origin_away_ms: from when until when the origin is away, after the name.
      slow_share: part of the agents whose link is squeezed.
      slow_factor: by what their rate is divided.
      heard_within_ms: time in which the agents hear the name.
      seed: seed of all that is random.
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
    """What was measured.

    Attributes:
      first_whole_ms: when the first agent held all pieces.
      half_whole_ms: when half of them did.
      last_whole_ms: when all did.
      limit_ms: when all could have, by the links alone.
      last_seen_ms: when the last piece was held anywhere.
      last_first_piece_ms: when the last agent held its first piece.
      origin_copies: copies that left the origin.
      region_copies: copies that crossed between regions, for each region
        beyond the first.
      live_wait_ms: mean wait of live answers at the agents' links while pieces
        travelled.
      live_wait_p99_ms: 99 in 100 waited no longer.
      prompt_wait_ms: mean wait of live requests on their way in.
      prompt_wait_p99_ms: 99 in 100 waited no longer.
      up_busy: part of the time in which an agent's link was busy outwards.
      down_busy: the same inwards.
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
      ValueError: if it can't be played; says why.
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
        raise ValueError("the origin can't be back before it goes away")


def limit_of(plan: Plan) -> rollout_limit.Limit:
    """Returns when engines could have the version, by the links alone."""
    left = 1.0 - plan.live_share
    return rollout_limit.limit(
        rollout_limit.Rollout(
            missing_bytes=plan.copy_bytes,
            origin_bytes=0 if plan.holders else plan.copy_bytes,
            origin_bytes_per_s=plan.origin_bytes_per_s,
            down_bytes_per_s=plan.link_bytes_per_s,
            up_bytes_per_s=plan.link_bytes_per_s * left,
            vms=plan.agents,
            holders=plan.holders,
            relay_bytes_per_s=plan.relays
            * plan.relay_bytes_per_s
            * piece_relay.LINK_SHARE,
        )
    )
