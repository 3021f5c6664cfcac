"""The settings of one entry instance, section by section.

Every field is a key of ``entry.ini``; ``settings.fields.declare`` states its
allowed values, its default and its help text.
"""

import dataclasses

from rhubarblock.settings import fields
from rhubarblock.settings import kinds

DEFAULT_POLICY = "length_aware"
LOG_LEVELS = ("debug", "info", "warning", "error")

_MEBIBYTE = 1 << 20


@dataclasses.dataclass(slots=True, frozen=True)
class InstanceSettings:
    """Section [instance]: identity and addresses of this instance."""

    id: str = fields.declare(
        kinds.Name(), "Unique name of this instance among all instances."
    )
    data_centre: str = fields.declare(
        kinds.Name(),
        "Data centre in which it runs; a place of the catalogue.",
    )
    region: str = fields.declare(
        kinds.Name(), "Region in which the data centre lies."
    )
    listen: kinds.Address = fields.declare(
        kinds.HostPort(), "Where callers connect; port 0 takes a free one."
    )
    admin_listen: kinds.Address = fields.declare(
        kinds.HostPort(), "Where operators connect; port 0 takes a free one."
    )
    peer_listen: kinds.Address = fields.declare(
        kinds.HostPort(),
        "Where other instances connect; port 0 takes a free one.",
    )
    advertise: kinds.Address | None = fields.declare(
        kinds.HostPort(empty=True),
        "Where other instances reach peer_listen; empty: at peer_listen "
        "itself. Port 0 stands for the port that peer_listen got.",
        None,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Section [platform]: the platform's object API."""

    url: str = fields.declare(kinds.Url(), "Base address of the object API.")
    timeout_s: float = fields.declare(
        kinds.Number(0.05, 60.0),
        "Longest wait for one answer in seconds; a write without an answer "
        "is then unsure and read back.",
        2.0,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PeersSettings:
    """Section [peers]: communication between instances."""

    seeds: tuple[kinds.Address, ...] = fields.declare(
        kinds.Items(kinds.HostPort(least_port=1)),
        "Instances to ask first; the platform's list adds the others.",
        (),
    )
    heartbeat_s: float = fields.declare(
        kinds.Number(0.05, 10.0), "Seconds between two heartbeats.", 0.8
    )
    certificate: str = fields.declare(
        kinds.Text(empty=True),
        "PEM file of this instance's certificate; empty: no TLS. A relative "
        "path starts at the settings file.",
        "",
    )
    key: str = fields.declare(
        kinds.Text(empty=True), "PEM file of its private key.", ""
    )
    authority: str = fields.declare(
        kinds.Text(empty=True),
        "PEM file of the authority that signed the peers' certificates.",
        "",
    )

    @property
    def secure(self) -> bool:
        """Whether peers authenticate each other by TLS."""
        return bool(self.certificate)


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingSettings:
    """Section [routing]: choice of an endpoint for a request."""

    policy: str = fields.declare(
        kinds.Name(),
        "Plug-in that orders queues and chooses endpoints.",
        DEFAULT_POLICY,
    )
    weight_ttft: float = fields.declare(
        kinds.Number(0.0, 1.0),
        "Share of the weight on time to first token across lengths; the "
        "rest is on the slowdown of short requests.",
        0.5,
    )
    subset_size: int = fields.declare(
        kinds.Integer(1, 1024),
        "Most endpoints of one service that this instance sends to.",
        32,
    )
    data_centre_latency_s: float = fields.declare(
        kinds.Number(0.0, 1.0),
        "One-way latency to another data centre in seconds.",
        0.001,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class LimitsSettings:
    """Section [limits]: limits on requests, queues and buffers."""

    body_bytes: int = fields.declare(
        kinds.Integer(1024, 1 << 30),
        "Largest request body in bytes.",
        16 * _MEBIBYTE,
    )
    header_bytes: int = fields.declare(
        kinds.Integer(1024, _MEBIBYTE),
        "Largest request line or header field in bytes.",
        8190,
    )
    queue_entries: int = fields.declare(
        kinds.Integer(1, 1_000_000), "Most requests that wait.", 4096
    )
    queue_bytes: int = fields.declare(
        kinds.Integer(1024, 1 << 34),
        "Most bytes of bodies that wait.",
        64 * _MEBIBYTE,
    )
    slow_reader_bytes: int = fields.declare(
        kinds.Integer(1024, 1 << 30),
        "Most bytes of an answer that wait for a caller that reads slowly.",
        _MEBIBYTE,
    )
    default_deadline_s: float = fields.declare(
        kinds.Number(0.1, 86_400.0),
        "Seconds that a request has when it names no deadline.",
        120.0,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class MetricsSettings:
    """Section [metrics]: export of the metrics."""

    statsd: kinds.Address | None = fields.declare(
        kinds.HostPort(empty=True, least_port=1),
        "statsd server (UDP); empty: counters stay in memory.",
        None,
    )
    interval_s: float = fields.declare(
        kinds.Number(0.1, 3600.0), "Seconds between two flushes.", 10.0
    )


@dataclasses.dataclass(slots=True, frozen=True)
class LogsSettings:
    """Section [logs]: log output to standard error."""

    level: str = fields.declare(
        kinds.Choice(LOG_LEVELS), "Least level written.", "info"
    )


@dataclasses.dataclass(slots=True, frozen=True)
class DrainSettings:
    """Section [drain]: planned stop of the instance."""

    deadline_s: float = fields.declare(
        kinds.Number(1.0, 86_400.0),
        "Seconds that requests in flight have to end; what would outlast "
        "them is handed over.",
        300.0,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class AdministrationSettings:
    """Section [administration]: the operators' API."""

    bootstrap_sha256: str = fields.declare(
        kinds.Digest(empty=True),
        "SHA-256 of the secret that may write the first catalogue; it is "
        "refused as soon as the catalogue names an administrator.",
        "",
    )


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """All sections of ``entry.ini``."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeersSettings = dataclasses.field(default_factory=PeersSettings)
    routing: RoutingSettings = dataclasses.field(
        default_factory=RoutingSettings
    )
    limits: LimitsSettings = dataclasses.field(default_factory=LimitsSettings)
    metrics: MetricsSettings = dataclasses.field(
        default_factory=MetricsSettings
    )
    logs: LogsSettings = dataclasses.field(default_factory=LogsSettings)
    drain: DrainSettings = dataclasses.field(default_factory=DrainSettings)
    administration: AdministrationSettings = dataclasses.field(
        default_factory=AdministrationSettings
    )


# The sections in the order of the operators' documentation.
SECTION_TYPES: dict[str, type] = {
    "instance": InstanceSettings,
    "platform": PlatformSettings,
    "peers": PeersSettings,
    "routing": RoutingSettings,
    "limits": LimitsSettings,
    "metrics": MetricsSettings,
    "logs": LogsSettings,
    "drain": DrainSettings,
    "administration": AdministrationSettings,
}
