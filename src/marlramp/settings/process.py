"""Settings file of one process: role, addresses, keys and platform."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated

import msgspec

from marlramp.settings import checking
from marlramp.settings import schema

_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535, description="a TCP port")]
_Url = Annotated[
    str, msgspec.Meta(pattern=r"^https?://", description="an http URL")
]
_Key = Annotated[
    str,
    msgspec.Meta(
        min_length=40, max_length=40, description="a CURVE key in Z85"
    ),
]
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class Role(enum.Enum):
    """Roles of a daemon."""

    ENTRY = "entry"
    AGENT = "agent"


VM_LIST_INTERVALS_MS = {Role.ENTRY: 5_000, Role.AGENT: 30_000}
"""Default interval between reads of the VM list, by role.

Agents read it less often, since there are many of them and they depend on it
less.
"""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and location of this process."""

    vm_id: _Text
    data_centre: _Text
    member: _Text
    deployment: _Text
    trade_body: _Text = "trade-body"


class Links(msgspec.Struct, frozen=True, kw_only=True):
    """Listening address and CURVE keys of the links between processes.

    All processes of a fleet share one server key pair and one client key
    pair. The handshake rejects peers that lack the client's public key.
    """

    host: _Text
    port: _Port
    server_public_key: _Key
    server_secret_key: _Key
    client_public_key: _Key
    client_secret_key: _Key


class Platform(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of the platform's services."""

    configuration_url: _Url
    vm_list_url: _Url
    origin_url: _Url
    weight_store_url: _Url
    vm_list_interval_ms: (
        Annotated[
            int,
            msgspec.Meta(ge=100, description="between reads of the VM list"),
        ]
        | None
    ) = None
    origin_requests_per_s: Annotated[
        float, msgspec.Meta(gt=0, description="requests to the origin")
    ] = 50.0
    weight_store_requests_per_s: Annotated[
        float, msgspec.Meta(gt=0, description="requests to the weight store")
    ] = 10.0


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that only entries have."""

    http_host: _Text
    http_port: _Port
    admin_key: Annotated[str, msgspec.Meta(min_length=16)]
    token_key: Annotated[str, msgspec.Meta(min_length=16)]
    agents_max: Annotated[
        int, msgspec.Meta(ge=1, description="agents linked to one entry")
    ] = 100


class UpstreamSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that only agents have: the upstream on the same VM.

    Attributes:
      service: service that the upstream belongs to.
      url: URL of the upstream.
      capacity: maximum number of requests that the upstream runs concurrently.
      reports_load: whether the upstream reports its load.
      holds_two_versions: whether the upstream can load a second version while
        it serves the first.
      checks_fencing: whether the upstream rejects commands with an outdated
        fencing number.
      link_bytes_per_s: bandwidth of this VM's network link, None to use the
        fleet's setting.
    """

    service: _Text
    url: _Url
    capacity: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    reports_load: bool = True
    holds_two_versions: bool = False
    checks_fencing: bool = True
    link_bytes_per_s: Annotated[int, msgspec.Meta(ge=1_000)] | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry may use on its VM.

    Attributes:
      memory_mb: resident memory in megabytes.
      sockets_max: number of sockets, None for the limit of the process on
        descriptors without those for files.
    """

    memory_mb: Annotated[int, msgspec.Meta(ge=64, le=1_000_000)] = 160
    sockets_max: Annotated[int, msgspec.Meta(ge=16, le=1_000_000)] | None = None


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of the settings file of one process."""

    role: Role
    identity: Identity
    links: Links
    platform: Platform
    limits: Limits = Limits()
    entry: EntrySettings | None = None
    upstream: UpstreamSettings | None = None


def vm_list_interval_ms(settings: ProcessSettings) -> int:
    """Returns the interval between reads of the VM list."""
    configured = settings.platform.vm_list_interval_ms
    return configured or VM_LIST_INTERVALS_MS[settings.role]


def parse(text: str, source: str) -> ProcessSettings:
    """Parses and validates process settings in TOML.

    Raises:
      ExceptionGroup: of `checking.SettingsError`, one for each problem.
    """
    table = checking.parse_toml(text, source)
    errors = list(checking.check_table(table, ProcessSettings, source, ""))
    for role, section in (("entry", "entry"), ("agent", "upstream")):
        if table.get("role") == role and section not in table:
            problem = f"missing; a process of role {role!r} needs this table"
            errors.append(checking.SettingsError(source, section, problem))
    if errors:
        raise ExceptionGroup("settings refused", errors)
    return msgspec.convert(table, ProcessSettings)


def read(path: pathlib.Path) -> ProcessSettings:
    """Reads and validates a settings file.

    Raises:
      ExceptionGroup: of `checking.SettingsError`, also if the file cannot be
        read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = checking.SettingsError(
            str(path), "", f"not readable: {error}"
        )
        raise ExceptionGroup("settings refused", [problem]) from error
    return parse(text, str(path))


def document_keys(identity: Identity) -> list[str]:
    """Returns the keys of the settings documents that apply to this process."""
    return [
        schema.document_key(schema.Level.TRADE_BODY, identity.trade_body),
        schema.document_key(schema.Level.MEMBER, identity.member),
        schema.document_key(schema.Level.DEPLOYMENT, identity.deployment),
    ]
