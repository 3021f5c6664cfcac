"""The configuration of the soak: one streaming and two call routes."""

from tools.soak import coldwatch

ENGINE = {
    "slots": 8,
    "kvCapacityTokens": 450_000,
    "stride": 46,
    "step_ms": 0.4,
    "read_per_s": 1e7,
    "chunk": 2048,
}


def make_configuration(version: int, keys: list[str]) -> dict[str, object]:
    """Returns the configuration object that the operator writes."""

    def route(name: str, kind: str, service: str) -> dict[str, object]:
        return {
            "name": name,
            "host": "soak.example",
            "pathPrefix": f"/{name}/",
            "routeKind": kind,
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "gapTargetMs": 200 if kind == "streaming" else 0,
            "streamResume": kind == "streaming",
            "maxAttempts": 2,
            "service": service,
        }

    return {
        "version": version,
        "routes": [
            route("s", "streaming", "pool"),
            route("once", "non_idempotent", "desk"),
            route("again", "idempotent", "desk"),
        ],
        "services": [
            {"name": "pool", "engine": ENGINE, **coldwatch.SERVICE},
            {"name": "desk", **coldwatch.SERVICE},
        ],
        "tenants": [{"name": "w", "apiKeys": keys}],
    }
