"""The weight store and the models that an engine has loaded from it."""

import asyncio
from collections.abc import Callable

from rhubarblock.core import attempt as attempts
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import settings as enginesettings

DEFAULT_BYTES_PER_S = 8e9


class WeightStore:
    """Serves reads one after another at a fixed rate.

    Attributes:
      bytes_per_s: total rate of all reads.
      reads: number of reads started.
      bytes_read: total size of these reads in bytes.
    """

    __slots__ = (
        "_busy_until_s",
        "_timers",
        "bytes_per_s",
        "bytes_read",
        "reads",
    )

    def __init__(
        self, clock: timers.Timers, bytes_per_s: float = DEFAULT_BYTES_PER_S
    ):
        self._timers = clock
        self._busy_until_s = 0.0
        self.bytes_per_s = bytes_per_s
        self.reads = 0
        self.bytes_read = 0

    async def read(self, size: int) -> None:
        """Reads a number of bytes once all earlier reads are done.

        Args:
          size: size in bytes.
        """
        now_s = self._timers.read_monotonic()
        self._busy_until_s = (
            max(self._busy_until_s, now_s) + size / self.bytes_per_s
        )
        self.reads += 1
        self.bytes_read += size
        await self._timers.sleep(self._busy_until_s - now_s)


class ModelSet:
    """The loaded models and adapters of an engine, and the loads under way."""

    __slots__ = (
        "_loading",
        "_on_change",
        "_settings",
        "_store",
        "_timers",
        "adapters",
        "models",
    )

    def __init__(
        self,
        settings: enginesettings.EngineSettings,
        clock: timers.Timers,
        store: WeightStore,
        on_change: Callable[[], None],
    ):
        """Creates the set of an engine that just started.

        Args:
          settings: initial models and adapters, their sizes and load times.
          clock: timer service.
          store: store that weights are read from.
          on_change: called when a load is complete.
        """
        self._settings = settings
        self._timers = clock
        self._store = store
        self._on_change = on_change
        self._loading: dict[str, asyncio.Task[None]] = {}
        self.models = settings.models
        self.adapters = settings.adapters

    def find_version(self, name: str) -> str | None:
        """Returns the loaded ``name@version`` or adapter for a name, or None.

        Args:
          name: name of a model, with or without version, or of an adapter.
        """
        for model in self.models:
            if name in (model, model.partition("@")[0]):
                return model
        return name if name in self.adapters else None

    def apply(self, order: attempts.Order) -> None:
        """Unloads what an order doesn't name and loads what is missing."""
        wanted = set(order.models) | set(order.adapters)
        for name in [name for name in self._loading if name not in wanted]:
            self._loading.pop(name).cancel()
        self.models = _retain(self.models, order.models)
        self.adapters = _retain(self.adapters, order.adapters)
        for name in order.models:
            if name not in self.models:
                self._start_load(name, is_adapter=False)
        for name in order.adapters:
            if name not in self.adapters:
                self._start_load(name, is_adapter=True)

    def stop(self) -> None:
        """Cancels all loads."""
        for task in self._loading.values():
            task.cancel()
        self._loading.clear()

    def _start_load(self, name: str, is_adapter: bool) -> None:
        if name not in self._loading:
            self._loading[name] = asyncio.ensure_future(
                self._load(name, is_adapter)
            )

    async def _load(self, name: str, is_adapter: bool) -> None:
        settings = self._settings
        size = settings.adapter_bytes if is_adapter else settings.model_bytes
        min_load_s = (
            settings.adapter_load_s if is_adapter else settings.model_load_s
        )
        start_s = self._timers.read_monotonic()
        await self._store.read(size)
        remaining_s = start_s + min_load_s - self._timers.read_monotonic()
        await self._timers.sleep(max(0.0, remaining_s))
        del self._loading[name]
        if is_adapter:
            self.adapters += (name,)
        else:
            self.models += (name,)
        self._on_change()


def _retain(
    loaded: tuple[str, ...], wanted: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(name for name in loaded if name in wanted)
