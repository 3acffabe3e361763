"""Schema of the settings documents.

One document per level (trade body, member, deployment) is published under its
own key. More specific scopes override more general ones: the settings of a
service override those of the levels, and the settings of a customer override
those of a service. Within each scope, the deployment overrides the member and
the member overrides the trade body.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from marlramp import ids

SCHEMA_VERSION = 1


class Level(enum.Enum):
    """Levels that publish a settings document, from general to specific."""

    TRADE_BODY = "trade_body"
    MEMBER = "member"
    DEPLOYMENT = "deployment"


class ServiceKind(enum.Enum):
    """Kinds of upstream that a service can have."""

    MODEL = "model"
    PLAIN = "plain"


class Distribution(enum.Enum):
    """Methods of weight distribution; all except `SWARM` are baselines."""

    SWARM = "swarm"
    STAR = "star"
    CHAIN = "chain"
    TREE = "tree"


class Routing(enum.Enum):
    """Methods of upstream selection; all except `PREDICTED` are baselines."""

    PREDICTED = "predicted"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


_Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$",
        max_length=64,
        description="a name of letters, digits, dots, dashes, underscores",
    ),
]
_Digest = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[0-9a-f]{64}$",
        description="64 hexadecimal digits of a BLAKE3 digest",
    ),
]


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings and their defaults; every level can override any of them."""

    origin_copies_max: Annotated[
        float,
        msgspec.Meta(
            ge=1.0, le=4.0, description="copies of new weights from the origin"
        ),
    ] = 1.05
    distribution: Annotated[
        Distribution,
        msgspec.Meta(description="way weights travel; others are baselines"),
    ] = Distribution.SWARM
    origin_takeover_ms: Annotated[
        int,
        msgspec.Meta(
            ge=100,
            le=600_000,
            description="wait per rank before a chunk is drawn again",
        ),
    ] = 2_000
    link_bytes_per_s: Annotated[
        int,
        msgspec.Meta(
            ge=1_000, le=100_000_000_000, description="rate of a VM's link"
        ),
    ] = 1_250_000_000
    weights_link_share: Annotated[
        float,
        msgspec.Meta(
            ge=0.05, le=1.0, description="part of the link weights may use"
        ),
    ] = 0.9
    neighbours: Annotated[
        int, msgspec.Meta(ge=2, le=64, description="swarm neighbours of a VM")
    ] = 8
    swap_out_fraction: Annotated[
        float,
        msgspec.Meta(
            gt=0.0,
            le=1.0,
            description="part of a service's replicas that swap at once",
        ),
    ] = 0.25
    swap_sole_replica: Annotated[
        bool,
        msgspec.Meta(
            description="whether a sole replica may stop to swap versions"
        ),
    ] = False
    entries_per_agent: Annotated[
        int, msgspec.Meta(ge=1, le=64, description="entries of one agent")
    ] = 8
    request_timeout_ms: Annotated[
        int,
        msgspec.Meta(
            ge=10, le=3_600_000, description="deadline of a call without one"
        ),
    ] = 60_000
    part_timeout_ms: Annotated[
        int,
        msgspec.Meta(
            ge=10, le=600_000, description="longest gap within an answer"
        ),
    ] = 5_000
    routing: Annotated[
        Routing,
        msgspec.Meta(description="choice of upstream; others are baselines"),
    ] = Routing.PREDICTED
    refuse_unreachable: Annotated[
        bool,
        msgspec.Meta(
            description="whether calls that cannot meet their deadline are "
            "refused at once"
        ),
    ] = True
    queue_length_max: Annotated[
        int,
        msgspec.Meta(
            ge=1, le=100_000, description="waiting calls of a service"
        ),
    ] = 256
    retries_max: Annotated[
        int, msgspec.Meta(ge=0, le=10, description="retries of one call")
    ] = 3
    retry_ratio: Annotated[
        float,
        msgspec.Meta(ge=0.0, le=1.0, description="retries per first try"),
    ] = 0.1
    retry_backoff_ms: Annotated[
        int, msgspec.Meta(ge=1, le=60_000, description="first retry's bound")
    ] = 20
    breaker_failures_max: Annotated[
        int,
        msgspec.Meta(
            ge=1, le=1_000, description="failures in a row that open a breaker"
        ),
    ] = 5
    breaker_open_ms: Annotated[
        int, msgspec.Meta(ge=10, le=600_000, description="time it stays open")
    ] = 2_000
    requests_per_s: Annotated[
        float,
        msgspec.Meta(gt=0.0, le=1e9, description="a customer's call rate"),
    ] = 1_000_000.0
    tokens_per_s: Annotated[
        float,
        msgspec.Meta(gt=0.0, le=1e12, description="a customer's token rate"),
    ] = 1e9
    burst_s: Annotated[
        float,
        msgspec.Meta(
            ge=0.1, le=3600.0, description="seconds of rate usable at once"
        ),
    ] = 5.0
    address_lifetime_ms: Annotated[
        int,
        msgspec.Meta(
            ge=100, le=3_600_000, description="how long callers keep addresses"
        ),
    ] = 5_000
    run_token_required: Annotated[
        bool,
        msgspec.Meta(
            description="whether non-idempotent calls need a run token"
        ),
    ] = True
    run_token_lifetime_ms: Annotated[
        int,
        msgspec.Meta(
            ge=1_000, le=600_000, description="how long a run token is valid"
        ),
    ] = 60_000


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """Model, adapter and version that a service must serve.

    Attributes:
      model: name of the model.
      version: version of the model.
      manifest: digest of the manifest that lists its chunks.
      previous_manifest: digest of the manifest of the version served before. An
        agent that restarts during the rollout uses it to verify that version.
      adapter: adapter applied to the model, None for the base model.
    """

    model: _Name
    version: _Name
    manifest: _Digest
    previous_manifest: _Digest | None = None
    adapter: _Name | None = None


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Declaration of a service at one level."""

    kind: ServiceKind | None = None
    rollout: Rollout | None = None
    settings: dict[str, object] = {}
    customers: dict[_Name, dict[str, object]] = {}


class Tree(msgspec.Struct, frozen=True, kw_only=True):
    """Parsed document of one level.

    The `settings` tables map field names of `Settings` to overrides. They are
    not converted to `Settings`, since a level sets only some of the fields.
    """

    schema: int
    settings: dict[str, object] = {}
    services: dict[_Name, Service] = {}
    customers: dict[_Name, dict[str, object]] = {}


LEVEL_ORDER = (Level.TRADE_BODY, Level.MEMBER, Level.DEPLOYMENT)


def document_key(level: Level, name: str) -> str:
    """Returns the configuration service key of a level's document."""
    return f"{level.value}/{name}"


def level_of_key(key: str) -> Level | None:
    """Returns the level that a key belongs to, None for an unknown key."""
    prefix, _, name = key.partition("/")
    if not name:
        return None
    try:
        return Level(prefix)
    except ValueError:
        return None


def version_id(rollout: Rollout) -> ids.VersionId:
    """Returns the version reported in responses: VERSION or VERSION+ADAPTER."""
    if rollout.adapter is None:
        return ids.VersionId(rollout.version)
    return ids.VersionId(f"{rollout.version}+{rollout.adapter}")
