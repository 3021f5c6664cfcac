import contextlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from rhubarblock.core import document as documents
from rhubarblock.core import listed
from rhubarblock.core import position as positions
from rhubarblock.core import route as routes
from rhubarblock.platform import configuration
from rhubarblock.store import store as stores

AT = positions.Position(0, 3)

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Ficu95.example",
            "pathPrefix": "/lohu930/",
            "routeKind": "streaming",
            "timeoutMs": 10000,
            "targetLatencyMs": 300,
            "priority": 1,
            "trafficSplit": [
                {"service": "pool", "weight": 90},
                {"service": "desk", "weight": 10},
            ],
            "maxAttempts": 2,
            "anonymous": False,
            "streamResume": True,
            "gapTargetMs": 200,
        },
        {
            "name": "r-2",
            "host": "ficu95.example",
            "pathPrefix": "/lohu930/a/",
            "routeKind": "something new",
            "timeoutMs": 2000,
            "service": "desk",
        },
    ],
    "services": [
        {"name": "desk", "healthPath": "/health", "maxConnections": 100},
        {
            "name": "pool",
            "healthPath": "/health",
            "maxConnections": 264,
            "engine": {
                "slots": 8,
                "kvCapacityTokens": 450000,
                "stride": 46,
                "step_ms": 0.925,
                "per_seq_ms": 0.00966,
                "context_per_k": 0.00254,
                "read_per_s": 256000.0,
                "pairs_per_m": 0.0917,
                "chunk": 2048,
                "hopMs": 0.1,
            },
        },
    ],
    "limits": {"maxBodyBytes": 100, "idleTimeoutMs": 15000},
    "tenants": [{"name": "hule930", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def decode(fields):
    return decode_text(json.dumps(fields).encode())


def decode_text(value):
    document = make_document(value)
    whole = documents.compare(documents.EMPTY, 0, document.pieces)
    return configuration.change_table(None, document, whole)


def make_document(value, before=documents.EMPTY):
    text = configuration.split(value)
    change = documents.compare(before, text.version, text.pieces)
    return documents.apply(before, change)


def test_all_fields_of_a_route_are_decoded():
    assert decode(CONFIG).routes.find_named("r-1") == routes.Route(
        name="r-1",
        host="ficu95.example",
        path_prefix="/lohu930/",
        kind=routes.RouteKind.STREAMING,
        shares=(
            routes.ServiceShare("pool", 90.0),
            routes.ServiceShare("desk", 10.0),
        ),
        max_attempts=2,
        timeout_s=10.0,
        objective_s=0.3,
        pause_s=0.2,
        priority=1,
        anonymous=False,
        resumable=True,
    )


def add_home_regions(regions):
    fields = json.loads(json.dumps(CONFIG))
    fields["routes"][0]["homeRegions"] = regions
    fields["tenants"][0]["homeRegions"] = regions
    return fields


def test_home_regions_of_routes_and_tenants_are_decoded():
    table = decode(add_home_regions(["accra", "kumasi"]))
    expected = frozenset({"accra", "kumasi"})
    assert table.routes.find_named("r-1").home_regions == expected
    assert table.routes.find_named("r-2").home_regions == frozenset()
    assert table.keys["k2"].home_regions == expected
    for none in ([], None):
        table = decode(add_home_regions(none))
        assert table.routes.find_named("r-1").home_regions == frozenset()


@pytest.mark.parametrize("regions", ["accra", [4], [""], {"accra": 1}, 0])
def test_home_regions_that_cannot_be_read_reject_the_configuration(regions):
    # Passing them over would lift a bound.
    with pytest.raises(ValueError, match="home regions"):
        decode(add_home_regions(regions))


def test_requests_of_an_unknown_kind_are_not_retried():
    route = decode(CONFIG).routes.find_named("r-2")
    assert not route.repeatable
    assert route.max_attempts == 1


def test_longest_prefix_of_the_host_wins():
    table = decode(CONFIG)
    assert table.find_route("ficu95.example:80", "/lohu930/x").name == "r-1"
    assert table.find_route("ficu95.example", "/lohu930/a/x").name == "r-2"
    assert table.find_route("other.example", "/lohu930/x") is None
    assert table.find_route("ficu95.example", "/lohu930") is None


def test_engine_costs_follow_the_published_formula():
    engine = decode(CONFIG).services["pool"].engine
    # 45,000 tokens: 176 ms for the tokens and 93 ms for their pairs.
    assert round(engine.predict_prefill(45_000), 3) == 0.269
    assert round(engine.predict_prefill(210_000, 14), 3) == 0.203
    assert round(engine.predict_stride(1, 5_000), 4) == 0.0436


def test_keys_map_to_their_workspace():
    assert decode(CONFIG).keys == {
        "k1": routes.Workspace("hule930", 1),
        "k2": routes.Workspace("hule930", 1),
    }
    assert decode({**CONFIG, "tenants": []}).keys == {}
    without = {k: v for k, v in CONFIG.items() if k != "tenants"}
    assert decode(without).keys is None


def test_bounds_have_defaults():
    assert decode(CONFIG).bounds == routes.CallerBounds(
        header_bytes=16_384,
        body_bytes=100,
        header_timeout_s=3.0,
        idle_timeout_s=15.0,
    )


@pytest.mark.parametrize("value", [b"{", b"{}", b"[]", b'{"version": null}'])
def test_configuration_that_cannot_be_read_is_an_error(value):
    with pytest.raises(ValueError):
        decode_text(value)


ENTRY = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "osu-hall",
    "slots": 8,
    "state": "draining",
    "sequence": 4,
}


def decode_entry(fields):
    value = json.dumps(fields).encode()
    stored = stores.StoredObject("servers/i-1", AT, value)
    return configuration.decode_endpoint(stored)


def test_entry_of_the_list_is_decoded():
    assert decode_entry(ENTRY) == listed.ListedEndpoint(
        "i-1", "10.128.0.9:8080", "osu-hall", "pool", 8, True
    )


def test_start_time_of_an_entry_is_decoded():
    assert decode_entry({**ENTRY, "born": 1_770_000_000_123}).born_ms == (
        1_770_000_000_123
    )


@pytest.mark.parametrize("name", sorted(ENTRY))
def test_entry_that_lacks_a_field_is_an_error(name):
    with pytest.raises(ValueError):
        decode_entry({k: v for k, v in ENTRY.items() if k != name})


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("service", ["pool"]),
        ("service", ""),
        ("service", "x" * 300),
        ("address", 17),
        ("address", "pool.example:80"),
        ("address", "10.0.0.1"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:99999"),
        ("address", "10.0.0.1:\u0663"),
        ("address", "10.0.0.256:80"),
        ("zone", 4),
        ("zone", None),
        ("slots", -1),
        ("slots", 1e400),
        ("slots", 10**30),
        ("slots", True),
        ("slots", "8"),
        ("state", "sleeping"),
        ("state", {"ready": True}),
        ("sequence", -4),
        ("sequence", "4"),
        ("born", 1.5),
        ("born", None),
        ("born", -1),
    ],
)
def test_entry_with_an_invalid_field_is_an_error(name, value):
    with pytest.raises(ValueError):
        decode_entry({**ENTRY, name: value})


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b"7", b"null", b'"ready"', b"\xff\xfe", b"{}"]
)
def test_entry_that_cannot_be_read_is_an_error(value):
    with pytest.raises(ValueError):
        configuration.decode_endpoint(
            stores.StoredObject("servers/i-1", AT, value)
        )


anything = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=6,
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from([*ENTRY, "born"]), anything
    ),
    anything,
)
def test_any_entry_is_decoded_or_rejected(changes, whole):
    for fields in ({**ENTRY, **changes}, whole):
        try:
            entry = decode_entry(fields)
        except ValueError:
            continue
        assert isinstance(entry.service, str)
        assert isinstance(entry.data_centre, str)
        assert 1 <= entry.slots <= 10_000
        assert 0 <= entry.born_ms <= 2**53
        assert hash(entry)


@hypothesis.given(strategies.binary())
def test_any_bytes_are_decoded_or_rejected(value):
    stored = stores.StoredObject("servers/i-1", AT, value)
    with contextlib.suppress(ValueError):
        configuration.decode_endpoint(stored)


NAMES = strategies.sampled_from(["a", "b", "c", "d"])
ROUTES = strategies.dictionaries(
    NAMES,
    strategies.tuples(NAMES, strategies.sampled_from([1000, 2000])),
    max_size=4,
)
TENANTS = strategies.one_of(
    strategies.none(),
    strategies.dictionaries(
        NAMES,
        strategies.lists(strategies.sampled_from(["k1", "k2", "k3"])),
        max_size=3,
    ),
)


def make_fields(version, routes_, tenants, body_bytes):
    fields = {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "h",
                "pathPrefix": f"/{prefix}/",
                "timeoutMs": timeout_ms,
                "service": "desk",
            }
            for name, (prefix, timeout_ms) in routes_.items()
        ],
        "services": [{"name": "desk"}],
        "limits": {"maxBodyBytes": body_bytes},
    }
    if tenants is not None:
        fields["tenants"] = [
            {"name": name, "apiKeys": keys} for name, keys in tenants.items()
        ]
    return fields


def find_routes(table):
    paths = [f"/{name}/x" for name in "abcd"]
    return [table.find_route("h", path) for path in paths]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(ROUTES, TENANTS, strategies.integers(1, 3)),
        min_size=1,
        max_size=6,
    )
)
def test_table_changed_step_by_step_equals_one_decoded_at_once(history):
    document, table = documents.EMPTY, None
    for version, parts in enumerate(history, 1):
        fields = make_fields(version, *parts)
        text = configuration.split(json.dumps(fields).encode())
        change = documents.compare(document, text.version, text.pieces)
        document = documents.apply(document, change)
        table = configuration.change_table(table, document, change)
        whole = decode(fields)
        assert find_routes(table) == find_routes(whole)
        assert table.keys == whole.keys
        assert table.bounds == whole.bounds
        assert table.version == version
        names = sorted(route.name for route in table.routes)
        assert names == sorted(route.name for route in whole.routes)


def test_change_decodes_only_the_changed_pieces():
    document = make_document(json.dumps(CONFIG).encode())
    table = decode(CONFIG)
    routes_ = [CONFIG["routes"][0], {**CONFIG["routes"][1], "timeoutMs": 3000}]
    text = configuration.split(
        json.dumps({**CONFIG, "routes": routes_}).encode()
    )
    change = documents.compare(document, 8, text.pieces)
    after = documents.apply(document, change)
    changed = configuration.change_table(table, after, change)
    assert list(change.changed) == ["routes/r-2"]
    assert changed.routes.find_named("r-2").timeout_s == 3.0
    assert changed.routes.find_named("r-1") is table.routes.find_named("r-1")
    assert changed.services["pool"] is table.services["pool"]


def test_duplicate_name_is_an_error():
    duplicated = {**CONFIG, "routes": [CONFIG["routes"][0]] * 2}
    with pytest.raises(ValueError) as caught:
        configuration.split(json.dumps(duplicated).encode())
    assert str(caught.value) == "two routes have the name 'r-1'"


@pytest.mark.parametrize(
    ("value", "remaining_s"),
    [
        (2500, 2.5),
        (0, 0.0),
        (0.5, 0.0005),
        (-1, None),
        ("2500", None),
        (None, None),
        (True, None),
        (1e400, None),
        (10**30, None),
        ([1], None),
    ],
)
def test_invalid_cold_time_counts_as_unknown(value, remaining_s):
    entry = decode_entry({**ENTRY, "coldRemainingMs": value})
    assert entry.cold_remaining_s == remaining_s
    assert entry.slots == 8


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, (0.0, 0.0)),
        ({"coldStartS": 15, "coldPerS": 26}, (15.0, 26.0)),
        ({"coldStartS": 0, "coldPerS": None}, (0.0, 0.0)),
        ({"coldStartS": "15", "coldPerS": -1}, (0.0, 0.0)),
    ],
)
def test_cold_fields_of_a_service_may_be_missing(fields, expected):
    desk, *others = CONFIG["services"]
    changed = {**CONFIG, "services": [{**desk, **fields}, *others]}
    service = decode(changed).services["desk"]
    assert (service.cold_start_s, service.cold_per_s) == expected
