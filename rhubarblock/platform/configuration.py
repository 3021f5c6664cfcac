"""The operator's configuration and the list of endpoints, decoded."""

from collections.abc import Mapping
import json
from typing import Any

from rhubarblock.core import listed
from rhubarblock.core import route as routes
from rhubarblock.store import store as stores

_MS_PER_S = 1000.0

_KINDS = {
    "idempotent": routes.RouteKind.IDEMPOTENT,
    "non_idempotent": routes.RouteKind.NON_IDEMPOTENT,
    "streaming": routes.RouteKind.STREAMING,
}


def decode_table(value: bytes) -> routes.RoutingTable:
    """Decodes the content of the configuration's object.

    Raises:
      ValueError: it can't be read.
    """
    try:
        fields = json.loads(value)
        return routes.RoutingTable(
            version=int(fields["version"]),
            routes=tuple(_decode_route(route) for route in fields["routes"]),
            services={
                service["name"]: _decode_service(service)
                for service in fields["services"]
            },
            keys=_decode_keys(fields.get("tenants")),
            bounds=_decode_bounds(fields.get("limits") or {}),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"the configuration lacks {error}") from error


def decode_endpoint(stored: stores.StoredObject) -> listed.ListedEndpoint:
    """Decodes an entry of the list; its object is named by the endpoint's id.

    Raises:
      ValueError: it can't be read.
    """
    endpoint_id = stored.name.partition("/")[2]
    try:
        fields = json.loads(stored.value)
        return listed.ListedEndpoint(
            endpoint_id=endpoint_id,
            address=fields["address"],
            data_centre=fields.get("zone", ""),
            service=fields["service"],
            slots=int(fields.get("slots") or 1),
            draining=fields.get("state") != "ready",
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"entry {endpoint_id} lacks {error}") from error


def _decode_route(fields: Mapping[str, Any]) -> routes.Route:
    timeout_s = float(fields["timeoutMs"]) / _MS_PER_S
    objective_ms = fields.get("targetLatencyMs") or fields["timeoutMs"]
    return routes.Route(
        name=fields["name"],
        host=fields["host"].lower(),
        path_prefix=fields["pathPrefix"],
        # What is not known may not be repeated.
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
    )


def _decode_engine(fields: Mapping[str, Any]) -> routes.EngineModel:
    return routes.EngineModel(
        slots=int(fields["slots"]),
        memory_tokens=int(fields["kvCapacityTokens"]),
        stride=int(fields.get("stride") or 1),
        step_ms=float(fields["step_ms"]),
        sequence_ms=float(fields.get("per_seq_ms") or 0),
        context_ms=float(fields.get("context_per_k") or 0),
        read_per_ms=float(fields["read_per_s"]) / _MS_PER_S,
        pair_ms=float(fields.get("pairs_per_m") or 0),
        chunk_tokens=int(fields.get("chunk") or 2048),
        hop_ms=float(fields.get("hopMs") or 0),
    )


def _decode_keys(
    tenants: list[Mapping[str, Any]] | None,
) -> dict[str, routes.Workspace] | None:
    if tenants is None:
        return None
    keys = {}
    for tenant in tenants:
        workspace = routes.Workspace(tenant["name"], tenant.get("priority"))
        for key in tenant.get("apiKeys") or ():
            keys[key] = workspace
    return keys


def _decode_bounds(fields: Mapping[str, Any]) -> routes.CallerBounds:
    usual = routes.CallerBounds()
    header_ms = fields.get("headerTimeoutMs")
    idle_ms = fields.get("idleTimeoutMs")
    return routes.CallerBounds(
        header_bytes=int(fields.get("maxHeaderBytes") or usual.header_bytes),
        body_bytes=int(fields.get("maxBodyBytes") or usual.body_bytes),
        header_timeout_s=header_ms / _MS_PER_S
        if header_ms
        else usual.header_timeout_s,
        idle_timeout_s=idle_ms / _MS_PER_S if idle_ms else usual.idle_timeout_s,
    )
