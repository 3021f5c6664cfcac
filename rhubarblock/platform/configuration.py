"""Decodes the operator's configuration and the list of endpoints."""

from collections.abc import Iterable
from collections.abc import Mapping
import ipaddress
import json
from typing import Any

from rhubarblock.core import document as documents
from rhubarblock.core import homes
from rhubarblock.core import listed
from rhubarblock.core import route as routes
from rhubarblock.exchange import dialect as dialects
from rhubarblock.store import store as stores

_MS_PER_S = 1000.0
# States of an endpoint's entry.
_READY = "ready"
_DRAINING = "draining"
_STATES = frozenset({_READY, _DRAINING})
# Maximum length of the name of a service or data centre, in characters; a host
# name has at most 253.
_MAX_TEXT_LENGTH = 255
# Characters of an unknown state that an error message shows.
_SHOWN_TEXT_LENGTH = 40
# Maximum number of slots accepted for one endpoint; current ones have 16.
_MAX_SLOTS = 10_000
# Larger counts and times lose digits in decoders of other languages.
_MAX_COUNT = 2**53
_MAX_PORT = 65_535
_PORT_DIGITS = 5

# Sections that are split into one piece per entry; others are a single piece.
_ROUTES = "routes"
_SERVICES = "services"
_TENANTS = "tenants"
_SECTIONS = (_ROUTES, _SERVICES, _TENANTS)
_LIMITS = "limits"
# Encodes an entry as the same text on every instance.
_ENCODER = json.JSONEncoder(separators=(",", ":"), sort_keys=True)

_KINDS = {
    "idempotent": routes.RouteKind.IDEMPOTENT,
    "non_idempotent": routes.RouteKind.NON_IDEMPOTENT,
    "streaming": routes.RouteKind.STREAMING,
}


def split(value: bytes) -> dialects.ConfigurationText:
    """Splits the content of the configuration object into pieces.

    Raises:
      ValueError: the content is invalid.
    """
    try:
        fields = json.loads(value)
        version = int(fields.pop("version"))
        pieces = {}
        for section in _SECTIONS:
            entries = fields.pop(section, None)
            if entries is None:
                continue
            pieces[section] = ""
            _add_entries(pieces, section, entries)
        for name, part in fields.items():
            pieces[name] = _ENCODER.encode(part)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"the configuration lacks {error}") from error
    return dialects.ConfigurationText(version, pieces)


def _add_entries(
    pieces: dict[str, str], section: str, entries: Iterable[Mapping[str, Any]]
) -> None:
    """Adds a piece for each entry; raises ValueError for a repeated name."""
    for entry in entries:
        name = f"{section}/{entry['name']}"
        if name in pieces:
            raise ValueError(f"two {section} have the name {entry['name']!r}")
        pieces[name] = _ENCODER.encode(entry)


def change_table(
    before: routes.RoutingTable | None,
    document: documents.Document,
    difference: documents.Difference,
) -> routes.RoutingTable:
    """Returns a changed routing table; decodes only the changed pieces.

    Args:
      before: the table before the change; None decodes all pieces.
      document: the document after the change.
      difference: the changed pieces.

    Raises:
      ValueError: the configuration is invalid.
    """
    if before is None:
        before = routes.RoutingTable(
            0, routes.RouteIndex(), {}, None, routes.CallerBounds()
        )
        difference = documents.compare(
            documents.EMPTY, document.identity.version, document.pieces
        )
    try:
        return _decode_change(before, document, difference)
    except (KeyError, TypeError) as error:
        raise ValueError(f"the configuration lacks {error}") from error


def _decode_change(
    before: routes.RoutingTable,
    document: documents.Document,
    difference: documents.Difference,
) -> routes.RoutingTable:
    pieces = document.pieces
    for section in (_ROUTES, _SERVICES):
        if section not in pieces:
            raise KeyError(section)
    names = [*difference.changed, *difference.removed]
    keys = before.keys
    if any(name.partition("/")[0] == _TENANTS for name in names):
        keys = _decode_keys(pieces)
    bounds = before.bounds
    if _LIMITS in names:
        limits = json.loads(pieces.get(_LIMITS, "null"))
        bounds = _decode_bounds(limits or {})
    return routes.RoutingTable(
        version=document.identity.version,
        routes=_change_routes(before.routes, difference),
        services=_change_services(before.services, difference),
        keys=keys,
        bounds=bounds,
    )


def _change_routes(
    before: routes.RouteIndex, difference: documents.Difference
) -> routes.RouteIndex:
    changed = [
        _decode_route(json.loads(difference.changed[f"{_ROUTES}/{name}"]))
        for name in _list_entries(difference.changed, _ROUTES)
    ]
    return before.change(changed, _list_entries(difference.removed, _ROUTES))


def _change_services(
    before: Mapping[str, routes.ServiceSpec], difference: documents.Difference
) -> dict[str, routes.ServiceSpec]:
    services = dict(before)
    for name in _list_entries(difference.removed, _SERVICES):
        services.pop(name, None)
    for name in _list_entries(difference.changed, _SERVICES):
        text = difference.changed[f"{_SERVICES}/{name}"]
        services[name] = _decode_service(json.loads(text))
    return services


def _list_entries(names: Iterable[str], section: str) -> list[str]:
    """Returns the names of a section's entries, without the section."""
    prefix = section + "/"
    return [n.removeprefix(prefix) for n in names if n.startswith(prefix)]


def decode_endpoint(stored: stores.StoredObject) -> listed.ListedEndpoint:
    """Decodes an entry of the list; the endpoint's id is its object's name.

    The entry may come from any writer, so every field is validated: an entry
    with one invalid field is rejected as a whole.

    Raises:
      ValueError: the entry is invalid.
    """
    endpoint_id = stored.name.partition("/")[2]
    try:
        return _decode_entry(endpoint_id, json.loads(stored.value))
    except (ValueError, RecursionError) as error:
        raise ValueError(f"entry {endpoint_id!r}: {error}") from error


def _decode_entry(endpoint_id: str, fields: Any) -> listed.ListedEndpoint:
    if not isinstance(fields, dict):
        raise ValueError("it is no table")
    if not endpoint_id:
        raise ValueError("it has no id")
    state = _read_text(fields, "state")
    if state not in _STATES:
        raise ValueError(f"its state {state[:_SHOWN_TEXT_LENGTH]!r} is unknown")
    # Not used, but every entry that an endpoint wrote itself has this field.
    _read_count(fields, "sequence", _MAX_COUNT)
    cold_ms = _read_lenient(fields, "coldRemainingMs")
    return listed.ListedEndpoint(
        endpoint_id=endpoint_id,
        address=_read_address(fields),
        data_centre=_read_text(fields, "zone"),
        service=_read_text(fields, "service"),
        slots=max(1, _read_count(fields, "slots", _MAX_SLOTS)),
        draining=state == _DRAINING,
        born_ms=_read_count({"born": 0, **fields}, "born", _MAX_COUNT),
        cold_remaining_s=None if cold_ms is None else cold_ms / _MS_PER_S,
    )


def _read_lenient(fields: Mapping[str, Any], name: str) -> float | None:
    """Returns a number of at least 0, None if it is missing or invalid."""
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 <= value <= _MAX_COUNT else None


def _read_text(fields: Mapping[str, Any], name: str) -> str:
    """Returns a text; raises ValueError if it is empty or too long."""
    value = fields.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_LENGTH:
        raise ValueError(f"{name} is no name")
    return value


def _read_count(fields: Mapping[str, Any], name: str, maximum: int) -> int:
    """Returns a whole number; raises ValueError unless it is in range."""
    value = fields.get(name)
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"{name} is no whole number up to {maximum}")
    return value


def _read_address(fields: Mapping[str, Any]) -> str:
    """Returns an IPv4 address with a port; raises ValueError if invalid."""
    address = _read_text(fields, "address")
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    digits = port if port.isascii() and port.isdigit() else ""
    if len(digits) > _PORT_DIGITS or not 0 < int(digits or 0) <= _MAX_PORT:
        raise ValueError(f"{address!r} has no port")
    return address


def _decode_route(fields: Mapping[str, Any]) -> routes.Route:
    timeout_s = float(fields["timeoutMs"]) / _MS_PER_S
    objective_ms = fields.get("targetLatencyMs") or fields["timeoutMs"]
    return routes.Route(
        name=str(fields["name"]),
        host=fields["host"].lower(),
        path_prefix=fields["pathPrefix"],
        # Requests of an unknown kind must not be retried.
        kind=_KINDS.get(
            fields.get("routeKind", ""), routes.RouteKind.NON_IDEMPOTENT
        ),
        shares=_decode_shares(fields),
        max_attempts=int(fields.get("maxAttempts") or 1),
        timeout_s=timeout_s,
        objective_s=float(objective_ms) / _MS_PER_S,
        pause_s=float(fields.get("gapTargetMs") or 0) / _MS_PER_S,
        priority=int(fields.get("priority") or 0),
        anonymous=bool(fields.get("anonymous")),
        resumable=bool(fields.get("streamResume")),
        home_regions=homes.parse_regions(fields.get("homeRegions")),
    )


def _decode_shares(
    fields: Mapping[str, Any],
) -> tuple[routes.ServiceShare, ...]:
    split = fields.get("trafficSplit")
    if split:
        return tuple(
            routes.ServiceShare(share["service"], float(share["weight"]))
            for share in split
        )
    return (routes.ServiceShare(fields["service"], 1.0),)


def _decode_service(fields: Mapping[str, Any]) -> routes.ServiceSpec:
    engine = fields.get("engine")
    return routes.ServiceSpec(
        name=fields["name"],
        health_path=fields.get("healthPath") or "/",
        max_connections=int(fields.get("maxConnections") or 0),
        engine=_decode_engine(engine) if engine else None,
        cold_start_s=_read_lenient(fields, "coldStartS") or 0.0,
        cold_per_s=_read_lenient(fields, "coldPerS") or 0.0,
    )


def _decode_engine(fields: Mapping[str, Any]) -> routes.EngineCostModel:
    return routes.EngineCostModel(
        slots=int(fields["slots"]),
        kv_capacity_tokens=int(fields["kvCapacityTokens"]),
        stride=int(fields.get("stride") or 1),
        step_ms=float(fields["step_ms"]),
        sequence_ms=float(fields.get("per_seq_ms") or 0),
        context_ms=float(fields.get("context_per_k") or 0),
        prefill_tokens_per_ms=float(fields["read_per_s"]) / _MS_PER_S,
        pair_ms=float(fields.get("pairs_per_m") or 0),
        chunk_tokens=int(fields.get("chunk") or 2048),
        hop_ms=float(fields.get("hopMs") or 0),
    )


def _decode_keys(
    pieces: Mapping[str, str],
) -> dict[str, routes.Workspace] | None:
    """Decodes all keys, as a key may have moved between workspaces."""
    if _TENANTS not in pieces:
        return None
    keys = {}
    # Sorted, so that all instances agree if two workspaces have the same key.
    for name in sorted(_list_entries(pieces, _TENANTS)):
        tenant = json.loads(pieces[f"{_TENANTS}/{name}"])
        regions = homes.parse_regions(tenant.get("homeRegions"))
        priority = tenant.get("priority")
        workspace = routes.Workspace(tenant["name"], priority, regions)
        for key in tenant.get("apiKeys") or ():
            keys[key] = workspace
    return keys


def _decode_bounds(fields: Mapping[str, Any]) -> routes.CallerBounds:
    defaults = routes.CallerBounds()
    header_ms = fields.get("headerTimeoutMs") or 0
    idle_ms = fields.get("idleTimeoutMs") or 0
    return routes.CallerBounds(
        header_bytes=int(fields.get("maxHeaderBytes") or defaults.header_bytes),
        body_bytes=int(fields.get("maxBodyBytes") or defaults.body_bytes),
        header_timeout_s=header_ms / _MS_PER_S or defaults.header_timeout_s,
        idle_timeout_s=idle_ms / _MS_PER_S or defaults.idle_timeout_s,
    )
