"""Puts together the parts of one instance that serve prompts.

The daemon, the demo and the experiments build the same parts; they differ in
the transports and the clock that they hand in.
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
from rhubarblock.routing import admission as admissions
from rhubarblock.routing import fairqueue
from rhubarblock.routing import lanes
from rhubarblock.routing import ledger as ledgers
from rhubarblock.routing.placement import coordination
from rhubarblock.routing.placement import loadtable
from rhubarblock.routing.placement import policy as policies
from rhubarblock.routing.placement import predictor as predictors

# Seconds between two reports of progress to the coordinators.
PROGRESS_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """Which instance this is, and which start of it.

    Attributes:
      instance_id: unique name.
      incarnation: rises with each start.
      data_centre: where it runs.
    """

    instance_id: str
    incarnation: int
    data_centre: str

    @property
    def owner(self) -> attemptid.Owner:
        """The name under which it owns attempts at engines."""
        return attemptid.Owner(self.instance_id, self.incarnation)


@dataclasses.dataclass(slots=True, frozen=True)
class Surroundings:
    """What the parts need from outside.

    Attributes:
      timers: timer service.
      rng: source of jitter.
      client: way to the engines.
      peers: way to the other instances.
      policy: placement policy.
      find_service: gives the engine service of a model.
      find_coordinator: gives the coordinator of an engine service.
      count_instances: gives the number of live instances.
      weigh: gives the weight of a request's flow.
      list_reserved: gives, of the engines of a service, those that only
        suspects may use at present.
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
      identity: this instance.
      lifecycle: its state.
      metrics: its counters.
      table: its view of the engines' load.
      ledger: the grants that it counts.
      placement: places its prompts.
      queue: what waits to go out.
      admission: decides by deadline.
      relay: serves prompts.
      retry_budget: bounds the retries of the instance.
      cleanup: cancellations under way.
    """

    __slots__ = (
        "_around",
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
        around: Surroundings,
        lifecycle: lifecycles.InstanceLifecycle,
        metrics: metric_store.Metrics,
        guard: guards.Guard,
        queue_settings: fairqueue.QueueSettings,
    ):
        self.identity = identity
        self.lifecycle = lifecycle
        self.metrics = metrics
        self._around = around
        self.table = loadtable.LoadTable()
        self.ledger = ledgers.Ledger(
            self.table, around.policy, around.timers, around.list_reserved
        )
        self.placement = coordination.PlacementClient(
            identity.instance_id,
            self.ledger,
            around.policy,
            around.peers,
            around.find_coordinator,
            metrics,
        )
        self.queue = lanes.LaneQueues(
            queue_settings, around.policy, around.weigh, self._size_window
        )
        self.retry_budget = retrybudget.RetryBudget(around.timers)
        self._stalls = stalls.StallDetector(around.timers)
        self.cleanup = cleanups.Cleanup(around.client, around.timers, metrics)
        self.relay = self._build_relay(guard)

    def _build_relay(self, guard: guards.Guard) -> promptrelay.PromptRelay:
        around = self._around
        predictor = predictors.Predictor()
        self.admission = admissions.Admission(
            predictor, admits_all=not around.policy.uses_lengths
        )
        runner = runners.AttemptRunner(
            around.client,
            self._find_address,
            around.timers,
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
                around.find_service,
                around.timers,
                self.metrics,
            ),
            guard,
            retries.RetryPolicy(self.retry_budget, around.timers, around.rng),
            around.timers,
            self.metrics,
        )

    @contextlib.contextmanager
    def run_ticks(self) -> Iterator[None]:
        """Keeps the regular work going while the context is open."""
        timers = self._around.timers
        with (
            stalls.run_stall_detector(self._stalls, timers),
            timers.subscribe(PROGRESS_INTERVAL_S, self.placement.send_progress),
        ):
            yield

    def _size_window(self) -> float:
        """Returns the prompt tokens that may be out at the engines."""
        workers = [
            load
            for load in self.table.list_usable()
            if load.role is not endpoints.Role.DECODE
        ]
        rate = sum(load.prefill_rate for load in workers)
        return (
            fairqueue.WINDOW_S * rate / max(1, self._around.count_instances())
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
