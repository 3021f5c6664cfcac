"""The target size of the fleet, and the parts of each role's cost there.

The target is the expected size in two years. The cost of a role is a sum of
parts; each part is a measured fit, evaluated at the target size. This module
has only the sizes and names.
"""

from collections.abc import Mapping
import dataclasses
import math

from rhubarblock.experiments.capacity import probe as capacityprobe

_SECONDS_PER_DAY = 86_400.0

# The target size.
NODES = 370
DATA_CENTRES = 9
SERVERS = 5_800
REQUESTS_PER_S = 31_000.0
TOKENS_PER_S = 12_000_000.0
WORKSPACES = 230
MODELS = 19
CHANGES_PER_DAY = 8_500
RESTARTS_PER_DAY = 110 + 840

# Budget of a node for control: share of a core, bytes, and bytes a second.
CPU_BUDGET = 0.048
MEMORY_BUDGET = 128 * 1024 * 1024
TRAFFIC_BUDGET = 7_000.0
# Rate limits of the platform. The requirements say "several hundred" writes a
# second; this is the limit of the stand-in.
PLATFORM_WRITES_PER_S = 300.0
PLATFORM_READS_PER_S = 2_000.0

# Ten workspaces share an institution, which has limits of its own.
ENTRIES = WORKSPACES + WORKSPACES // 10
NEAR = math.ceil(NODES / DATA_CENTRES)
POOLS = MODELS
# Endpoints in the subset of a node: twice its share of them, so that it has a
# choice.
SUBSET = 32
# Assumed rate of at-most-once calls to plain services; the requirements name
# none.
CLAIMS_PER_S = 100.0


# The policy asks the coordinator for every prompt.
PLACED_PER_S = REQUESTS_PER_S

COLUMNS = (
    capacityprobe.STATE,
    capacityprobe.MESSAGES,
    capacityprobe.BYTES,
    capacityprobe.CPU,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """One part of a role's cost.

    Attributes:
      name: its label in the table.
      mechanism: short description of the mechanism that causes the cost.
      series: name of the series that measured it.
      sizes: value of each factor at the target size.
      prefix: prefix of the names of its quantities in the series.
      is_growth: whether to leave out the constant term, because another part
        includes it already.
      columns: quantities that it has.
    """

    name: str
    mechanism: str
    series: str
    sizes: Mapping[str, float]
    prefix: str = ""
    is_growth: bool = False
    columns: tuple[str, ...] = COLUMNS


@dataclasses.dataclass(slots=True, frozen=True)
class Role:
    """A role and its parts.

    Attributes:
      key: its name in the template.
      name: its label.
      holders: how many nodes have it, in words.
      parts: the parts of its cost.
    """

    key: str
    name: str
    holders: str
    parts: tuple[Part, ...]


_MEMBERSHIP = Part(
    "heartbeats",
    "ring of probes in the data centre, representatives between them",
    "membership",
    {
        "instances_near": NEAR,
        "instances_far": NODES - NEAR,
        "data_centres": DATA_CENTRES,
    },
)
_CHURN = Part(
    "deaths and restarts",
    "news to the data centre at once, then with heartbeats",
    "churn",
    {"restarts_per_s": RESTARTS_PER_DAY / _SECONDS_PER_DAY},
    is_growth=True,
    columns=(
        capacityprobe.MESSAGES,
        capacityprobe.BYTES,
        capacityprobe.CPU,
    ),
)
_CATALOGUE = Part(
    "catalogue",
    "tree of notices, fetched from a peer",
    "catalogue",
    {
        "revisions_per_s": CHANGES_PER_DAY / _SECONDS_PER_DAY,
        "workspaces": WORKSPACES,
        "models": MODELS,
    },
    is_growth=True,
)
_LIMITS = Part(
    "shares of the limits",
    "reports to the coordinator and loans",
    "limits",
    {"entries": ENTRIES, "instances": NODES},
)
_LOADS_ALL = Part(
    "load reports of all engines",
    "asked of every engine by every instance",
    "loads",
    {"endpoints": SERVERS},
)
_LOADS_SUBSET = Part(
    f"load reports of {SUBSET} engines",
    "the same for a subset",
    "loads",
    {"endpoints": SUBSET},
)
# A restart removes the instance's entry from the list and adds it again.
_LIST_SIZES = {
    "lines": float(SERVERS + NODES),
    "list_changes_per_s": 2 * RESTARTS_PER_DAY / _SECONDS_PER_DAY,
}
_LIST = Part(
    "platform's list",
    "two readers in a data centre pass it on; every table takes it whole",
    "listrelay",
    _LIST_SIZES,
)
_LIST_READ = Part(
    "platform's list, read from the platform",
    "whole, once a second",
    "list",
    _LIST_SIZES,
    columns=(capacityprobe.BYTES, capacityprobe.CPU),
)
_PEERS = Part(
    "placements and progress",
    "a call for each prompt, progress in batches",
    "whole",
    {"instances": 0.0, "requests_per_s_instance": REQUESTS_PER_S / NODES},
    is_growth=True,
    columns=(capacityprobe.MESSAGES, capacityprobe.BYTES),
)

ROLES = (
    Role(
        "entry",
        "entry instance, as it is today",
        f"all {NODES}",
        (
            _MEMBERSHIP,
            _CHURN,
            _CATALOGUE,
            _LIMITS,
            _PEERS,
            _LIST,
            _LOADS_ALL,
        ),
    ),
    Role(
        "reader",
        "reader of the list",
        f"two in each data centre, {2 * DATA_CENTRES} in all",
        (_LIST_READ,),
    ),
    Role(
        "entry_subset",
        f"entry instance that follows {SUBSET} engines and gets changes of "
        "the list only",
        f"all {NODES}, once that is built",
        (
            _MEMBERSHIP,
            _CHURN,
            _CATALOGUE,
            _LIMITS,
            _PEERS,
            _LOADS_SUBSET,
        ),
    ),
    Role(
        "endpoints",
        "coordinator of endpoints",
        f"one for each of {POOLS} pools",
        (
            Part(
                "placements of prompts",
                "ledger of grants; the policy looks at every engine",
                "placement",
                {
                    "placed_per_s": PLACED_PER_S / POOLS,
                    "endpoints": SERVERS / POOLS,
                },
            ),
            Part(
                "cache events",
                "asked of every engine of the pool",
                "caches",
                {"endpoints": SERVERS / POOLS},
                columns=(
                    capacityprobe.MESSAGES,
                    capacityprobe.BYTES,
                    capacityprobe.CPU,
                ),
            ),
        ),
    ),
    Role(
        "workspaces",
        "coordinator of workspaces",
        "one for all entries; the shards of the duty spread them",
        (
            Part(
                "books of shares",
                "one report of each instance a round",
                "limits",
                {"entries": ENTRIES, "instances": NODES},
                prefix="coordinator_",
            ),
        ),
    ),
    Role(
        "claims",
        "coordinator of claims",
        f"16 shards over all instances, at {CLAIMS_PER_S:.0f} claims a second",
        (
            Part(
                "claims and answers",
                "group commit in a shard's head object",
                "claims",
                {
                    "claims_per_s": CLAIMS_PER_S,
                    "claims_per_s_instance": CLAIMS_PER_S / NODES,
                },
                columns=(
                    capacityprobe.MESSAGES,
                    capacityprobe.BYTES,
                    capacityprobe.CPU,
                ),
            ),
        ),
    ),
    Role(
        "orders",
        "holder of orders",
        f"one for each pool of each data centre, {POOLS * DATA_CENTRES} in "
        "all; the figures are for one",
        (
            Part(
                "a pool kept at the catalogue",
                "lease with a fencing number, orders as desired state",
                "orders",
                {
                    "pools": 1,
                    "endpoints": SERVERS / POOLS / DATA_CENTRES,
                },
                columns=(capacityprobe.STATE, capacityprobe.CPU),
            ),
        ),
    ),
    Role(
        "watcher",
        "watcher of the catalogue",
        f"two in each data centre, {2 * DATA_CENTRES} in all",
        (
            _MEMBERSHIP,
            dataclasses.replace(
                _CATALOGUE,
                name="catalogue, watched and passed on",
                mechanism="watch on the platform, start of the tree",
            ),
        ),
    ),
)


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformPart:
    """Calls to the platform from the whole fleet.

    Attributes:
      name: its label in the table.
      series: name of the series that measured it.
      quantity: name of the quantity in that series.
      sizes: value of each factor in one run of the probe.
      times: factor from one run of the probe to the whole fleet.
      is_write: whether the calls count as writes.
    """

    name: str
    series: str
    quantity: str
    sizes: Mapping[str, float]
    times: float
    is_write: bool = False


PLATFORM = (
    PlatformPart(
        "membership reads the list",
        "membership",
        capacityprobe.READS,
        {"instances_near": NEAR},
        NODES,
    ),
    PlatformPart(
        "readers of the list",
        "listrelay",
        capacityprobe.READS,
        _LIST_SIZES,
        DATA_CENTRES,
    ),
    PlatformPart(
        "catalogue: reads of watchers and others",
        "catalogue",
        capacityprobe.READS,
        {"revisions_per_s": CHANGES_PER_DAY / _SECONDS_PER_DAY},
        DATA_CENTRES,
    ),
    PlatformPart(
        "catalogue: waiting watches",
        "catalogue",
        "watches",
        {"revisions_per_s": CHANGES_PER_DAY / _SECONDS_PER_DAY},
        DATA_CENTRES,
    ),
    PlatformPart(
        "claims",
        "claims",
        capacityprobe.READS,
        {"claims_per_s": CLAIMS_PER_S},
        1,
    ),
    PlatformPart(
        "leases of orders",
        "orders",
        capacityprobe.WRITES,
        {"pools": POOLS},
        DATA_CENTRES,
        True,
    ),
    PlatformPart(
        f"claims, at {CLAIMS_PER_S:.0f} a second",
        "claims",
        capacityprobe.WRITES,
        {"claims_per_s": CLAIMS_PER_S},
        1,
        True,
    ),
)
# Each change of the catalogue writes the object and an audit record.
CHANGE_WRITES_PER_S = 2 * CHANGES_PER_DAY / _SECONDS_PER_DAY
