"""Assembles the parts of one instance that serve prompts.

The daemon, the demo and the experiments build the same parts; they differ in
the transports and the clock that they pass in.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import random

from rhubarblock.core import attemptid
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.core import request as requests
from rhubarblock.fleet import engineclient
from rhubarblock.fleet import peertransport
from rhubarblock.kernel import lifecycle as lifecycles
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import cleanup as cleanups
from rhubarblock.relay import guard as guards
from rhubarblock.relay import promptrelay
from rhubarblock.relay import retries
from rhubarblock.relay import retrybudget
from rhubarblock.relay import runner as runners
from rhubarblock.relay import stalls
from rhubarblock.relay import tries
from rhubarblock.routing import fairqueue
from rhubarblock.routing import lanes
from rhubarblock.routing import ledger as ledgers
from rhubarblock.routing.admission import deadline as admissions
from rhubarblock.routing.placement import coordination
from rhubarblock.routing.placement import loadtable
from rhubarblock.routing.placement import policy as policies
from rhubarblock.routing.placement import predictor as predictors

# Seconds between two progress reports to the coordinators.
PROGRESS_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """Identity of one start of an instance.

    Attributes:
      instance_id: unique name.
      incarnation: increases with each start.
      data_centre: data centre in which it runs.
    """

    instance_id: str
    incarnation: int
    data_centre: str

    @property
    def owner(self) -> attemptid.Owner:
        """Owner under which its attempts are registered at engines."""
        return attemptid.Owner(self.instance_id, self.incarnation)


@dataclasses.dataclass(slots=True, frozen=True)
class PromptDependencies:
    """Dependencies of the parts that serve prompts.

    Attributes:
      timers: timer service.
      rng: source of jitter.
      client: client of the engines.
      peers: transport for calls to the other instances.
      policy: placement policy.
      find_service: returns the engine service of a model.
      find_coordinator: returns the coordinator of an engine service.
      count_instances: returns the number of live instances.
      weigh: returns the fair-queueing weight of a request.
      list_reserved: returns the engines of a service that are reserved for
        suspect requests at present.
    """

    timers: timer_service.Timers
    rng: random.Random
    client: engineclient.EngineClient
    peers: peertransport.PeerTransport
    policy: policies.Policy
    find_service: Callable[[str], str]
    find_coordinator: Callable[[str], coordination.Coordinator]
    count_instances: Callable[[], int]
    weigh: Callable[[requests.PromptRequest], float]
    list_reserved: Callable[[str, Iterable[str]], frozenset[str]]


class PromptParts:
    """The parts of one instance that serve prompts.

    Attributes:
      identity: identity of this instance.
      lifecycle: its lifecycle state.
      metrics: its counters.
      table: load of the engines, as this instance sees it.
      ledger: grants of engine capacity that this instance counts.
      placement: client that places prompts.
      queue: prompts that wait to be sent.
      admission: admission control by deadline.
      relay: serves prompts.
      retry_budget: limits the retries of the instance.
      cleanup: cancellations of attempts that are still in progress.
    """

    __slots__ = (
        "_dependencies",
        "_stalls",
        "admission",
        "cleanup",
        "identity",
        "ledger",
        "lifecycle",
        "metrics",
        "placement",
        "queue",
        "relay",
        "retry_budget",
        "table",
    )

    def __init__(
        self,
        identity: Identity,
        dependencies: PromptDependencies,
        lifecycle: lifecycles.InstanceLifecycle,
        metrics: metric_store.Metrics,
        guard: guards.Guard,
        queue_settings: fairqueue.QueueSettings,
    ):
        self.identity = identity
        self.lifecycle = lifecycle
        self.metrics = metrics
        self._dependencies = dependencies
        self.table = loadtable.LoadTable()
        self.ledger = ledgers.Ledger(
            self.table,
            dependencies.policy,
            dependencies.timers,
            dependencies.list_reserved,
        )
        self.placement = coordination.PlacementClient(
            identity.instance_id,
            self.ledger,
            dependencies.policy,
            dependencies.peers,
            dependencies.find_coordinator,
            metrics,
        )
        self.queue = lanes.LaneQueues(
            queue_settings,
            dependencies.policy,
            dependencies.weigh,
            self._compute_window,
        )
        self.retry_budget = retrybudget.RetryBudget(dependencies.timers)
        self._stalls = stalls.StallDetector(dependencies.timers)
        self.cleanup = cleanups.Cleanup(
            dependencies.client, dependencies.timers, metrics
        )
        self.relay = self._build_relay(guard)

    def _build_relay(self, guard: guards.Guard) -> promptrelay.PromptRelay:
        dependencies = self._dependencies
        predictor = predictors.Predictor()
        self.admission = admissions.Admission(
            predictor, admits_all=not dependencies.policy.uses_lengths
        )
        runner = runners.AttemptRunner(
            dependencies.client,
            self._find_address,
            dependencies.timers,
            self._stalls,
            self.cleanup,
        )
        routing = tries.Routing(
            self.admission, self.queue, self.placement, predictor
        )
        return promptrelay.PromptRelay(
            self.lifecycle,
            routing,
            tries.TryRunner(
                str(self.identity.owner),
                routing,
                runner,
                guard,
                dependencies.find_service,
                dependencies.timers,
                self.metrics,
            ),
            guard,
            retries.RetryPolicy(
                self.retry_budget, dependencies.timers, dependencies.rng
            ),
            dependencies.timers,
            self.metrics,
        )

    @contextlib.contextmanager
    def run_periodic_tasks(self) -> Iterator[None]:
        """Runs the periodic tasks while the context is open."""
        timers = self._dependencies.timers
        with (
            stalls.run_stall_detector(self._stalls, timers),
            timers.subscribe(PROGRESS_INTERVAL_S, self.placement.send_progress),
        ):
            yield

    def _compute_window(self) -> float:
        """Returns the most prompt tokens to have in flight at the engines.

        It is this instance's share of what the usable prefill engines compute
        in ``fairqueue.WINDOW_S`` seconds.
        """
        workers = [
            load
            for load in self.table.list_usable()
            if load.role is not endpoints.Role.DECODE
        ]
        rate = sum(load.prefill_rate for load in workers)
        return (
            fairqueue.WINDOW_S
            * rate
            / max(1, self._dependencies.count_instances())
        )

    def _find_address(self, endpoint_id: str) -> str:
        load = self.table.find(endpoint_id)
        if load is None:
            raise failures.FailureError(
                failures.Failure(
                    failures.FailureCode.NO_ENDPOINT,
                    f"endpoint {endpoint_id} is not known here",
                )
            )
        return load.endpoint.address
