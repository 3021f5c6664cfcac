"""Changes the models of one engine without interrupting service.

New models are loaded next to the old ones and must answer a canary prompt
before the old ones are unloaded, so that requests always find a working model.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random

from rhubarblock.core import attempt as attempts
from rhubarblock.core import endpoint as endpoints
from rhubarblock.core import failure as failures
from rhubarblock.fleet import engineclient
from rhubarblock.fleet import lease as leases
from rhubarblock.kernel import timers as timers_lib

_Code = failures.FailureCode

_CANARY_PROMPT = "Count to three."
_CANARY_PROMPT_TOKENS = 8
_CANARY_TOKENS = 8
_POLL_S = 0.5

# Failures that show that the engine was unavailable. They do not show whether
# the version works.
_UNAVAILABLE_CODES = frozenset({_Code.NO_ENDPOINT, _Code.DRAINING})


class LeaseLostError(Exception):
    """The lease expired, or an engine obeyed a later holder."""


class VersionFailedError(Exception):
    """A version did not load or did not answer the canary prompt.

    Attributes:
      name: the version, as an engine loads it.
      certain: whether the version is certainly at fault; otherwise the engine
        may be.
    """

    def __init__(self, name: str, reason: str, certain: bool):
        super().__init__(f"{name}: {reason}")
        self.name = name
        self.certain = certain


@dataclasses.dataclass(slots=True, frozen=True)
class EngineUpdateSettings:
    """Timeouts of an engine update in seconds.

    Attributes:
      load_timeout_s: timeout for loading a model.
      canary_timeout_s: timeout for the answer to the canary prompt.
      order_timeout_s: timeout for the response to an order.
    """

    load_timeout_s: float = 300.0
    canary_timeout_s: float = 20.0
    order_timeout_s: float = 2.0


class EngineUpdater:
    """Gives orders to engines and changes their models under a lease."""

    __slots__ = ("_client", "_lease", "_timers", "_rng", "_settings", "_owner")

    def __init__(
        self,
        client: engineclient.EngineClient,
        lease: leases.Lease,
        timers: timers_lib.Timers,
        rng: random.Random,
        owner: str,
        settings: EngineUpdateSettings | None = None,
    ):
        """Creates an updater.

        Args:
          client: carries calls to engines.
          lease: must be held for each order.
          timers: the timer service.
          rng: generates the ids of canary prompts.
          owner: id and incarnation of this instance.
          settings: timeouts.
        """
        self._client = client
        self._lease = lease
        self._timers = timers
        self._rng = rng
        self._owner = owner
        self._settings = settings or EngineUpdateSettings()

    async def give_order(
        self, endpoint: endpoints.Endpoint, order: attempts.Order
    ) -> endpoints.LoadReport:
        """Gives an order if the lease is held.

        Args:
          endpoint: the engine.
          order: its desired state; the fencing number is filled in.

        Returns:
          The engine's state after the order.

        Raises:
          LeaseLostError: the lease is not held, or the engine obeyed a later
            holder.
          failure.FailureError: the order may not have arrived.
        """
        if not self._lease.is_held():
            raise LeaseLostError("the lease is not held")
        order = dataclasses.replace(order, fence=self._lease.fence)
        try:
            async with asyncio.timeout(self._settings.order_timeout_s):
                return await self._client.give_order(endpoint.address, order)
        except failures.FailureError as error:
            if error.failure.code is _Code.FORBIDDEN:
                raise LeaseLostError(error.failure.message) from error
            raise
        except TimeoutError as error:
            raise failures.FailureError(
                failures.Failure(
                    _Code.ENDPOINT_FAILED,
                    f"{endpoint.endpoint_id} did not answer an order",
                )
            ) from error

    async def change_models(
        self,
        endpoint: endpoints.Endpoint,
        report: endpoints.LoadReport,
        desired: attempts.Order,
        is_trusted: Callable[[str], bool],
    ) -> endpoints.LoadReport:
        """Changes the models of an engine to those of an order.

        Args:
          endpoint: the engine.
          report: its current state.
          desired: its desired state.
          is_trusted: returns whether a loaded version needs no canary prompt.

        Returns:
          The engine's final state.

        Raises:
          LeaseLostError: as ``give_order``.
          VersionFailedError: a model did not load or did not answer.
          failure.FailureError: as ``give_order``.
        """
        missing = [name for name in desired.models if name not in report.models]
        if missing:
            both = (*report.models, *missing)
            order = dataclasses.replace(desired, models=both)
            await self.give_order(endpoint, order)
            await self._wait_loaded(endpoint, report.start_id, missing)
        for name in desired.models:
            if name in missing or not is_trusted(name):
                await self._verify(endpoint, name)
        return await self.give_order(endpoint, desired)

    async def _wait_loaded(
        self, endpoint: endpoints.Endpoint, start_id: str, names: list[str]
    ) -> None:
        end_s = self._timers.read_monotonic() + self._settings.load_timeout_s
        while self._timers.read_monotonic() < end_s:
            await self._timers.sleep(_POLL_S)
            with contextlib.suppress(failures.FailureError):
                report = await self._client.fetch_load(endpoint.address)
                if report.start_id != start_id:
                    reason = "the engine started anew while it loaded"
                    raise VersionFailedError(names[0], reason, certain=False)
                if all(name in report.models for name in names):
                    return
        raise VersionFailedError(names[0], "it did not load", certain=False)

    async def _verify(self, endpoint: endpoints.Endpoint, name: str) -> None:
        attempt = attempts.Attempt(
            attempt_id=f"canary-{self._rng.getrandbits(64):016x}/1",
            owner=self._owner,
            model=name,
            prompt=_CANARY_PROMPT,
            prompt_tokens=_CANARY_PROMPT_TOKENS,
            prefix_blocks=(),
            digest=f"canary-{self._rng.getrandbits(64):016x}",
            max_tokens=_CANARY_TOKENS,
        )
        try:
            async with asyncio.timeout(self._settings.canary_timeout_s):
                is_complete = await self._run_canary(endpoint, attempt)
        except TimeoutError:
            raise VersionFailedError(
                name, "it did not answer in time", certain=True
            ) from None
        except failures.FailureError as error:
            certain = error.failure.code not in _UNAVAILABLE_CODES
            raise VersionFailedError(
                name, error.failure.message, certain
            ) from error
        if not is_complete:
            raise VersionFailedError(
                name, "its answer was cut short", certain=True
            )

    async def _run_canary(
        self, endpoint: endpoints.Endpoint, attempt: attempts.Attempt
    ) -> bool:
        """Returns whether the answer was complete."""
        chunks = self._client.generate(endpoint.address, attempt)
        async with contextlib.aclosing(chunks) as answer:
            async for chunk in answer:
                if chunk.end:
                    return True
        return False
