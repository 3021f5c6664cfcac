"""Switches faults of the stand-in engine on and off over HTTP."""

from collections.abc import Callable
import functools
from typing import Any

from rhubarblock.core import failure as failures
from rhubarblock.kernel import timers
from rhubarblock.standins.engine import engine as engines

# Delay that lets the response to the fault command itself be sent before the
# engine stops answering.
RESPONSE_GRACE_S = 0.05


class FaultController:
    """Applies the bodies of ``POST /v1/faults`` to one engine."""

    __slots__ = ("_actions", "_engine", "_timers")

    def __init__(self, engine: engines.Engine, clock: timers.Timers):
        self._engine = engine
        self._timers = clock
        self._actions: dict[str, Callable[[dict[str, Any]], None]] = {
            "die": self._die,
            "pause": self._pause,
            "refuse": self._refuse,
            "slow": self._slow,
            "late": self._late,
            "cross": self._cross,
            "cut": self._cut,
            "duplicate": self._duplicate,
            "crash": self._crash,
            "bad_versions": self._mark_versions,
            "clear": self._clear,
        }

    def apply(self, command: dict[str, Any]) -> None:
        """Switches a fault on or off.

        Args:
          command: ``kind`` and its fields, see docs/standins.md.

        Raises:
          failure.FailureError: BAD_REQUEST if the command is malformed.
        """
        action = self._actions.get(str(command.get("kind")))
        if action is None:
            allowed = ", ".join(self._actions)
            raise _make_error(f"kind must be one of {allowed}")
        try:
            action(command)
        except (KeyError, TypeError, ValueError) as error:
            raise _make_error(f"wrong or missing field: {error}") from error

    def _die(self, command: dict[str, Any]) -> None:
        restart_after_s = command.get("restart_after_s")
        if restart_after_s is not None:
            restart_after_s = float(restart_after_s)
            self._timers.call_later(
                RESPONSE_GRACE_S + restart_after_s, self._engine.restart
            )
        self._timers.call_later(RESPONSE_GRACE_S, self._engine.die)

    def _pause(self, command: dict[str, Any]) -> None:
        seconds = float(command["seconds"])
        self._timers.call_later(
            RESPONSE_GRACE_S, functools.partial(self._engine.pause, seconds)
        )

    def _refuse(self, command: dict[str, Any]) -> None:
        seconds = float(command["seconds"])
        self._timers.call_later(
            RESPONSE_GRACE_S,
            functools.partial(self._engine.refuse_connections, seconds),
        )

    def _slow(self, command: dict[str, Any]) -> None:
        self._engine.faults.slow_factor = float(command["factor"])

    def _late(self, command: dict[str, Any]) -> None:
        self._engine.faults.late_s = float(command["seconds"])

    def _cross(self, command: dict[str, Any]) -> None:
        self._engine.faults.cross_next = int(command.get("count", 1))

    def _cut(self, command: dict[str, Any]) -> None:
        self._engine.faults.cut_next = int(command.get("count", 1))

    def _duplicate(self, command: dict[str, Any]) -> None:
        self._engine.faults.duplicate_next = int(command.get("count", 1))

    def _crash(self, command: dict[str, Any]) -> None:
        self._engine.faults.crash_digests = set(command["digests"])

    def _mark_versions(self, command: dict[str, Any]) -> None:
        self._engine.faults.bad_versions = set(command["versions"])

    def _clear(self, command: dict[str, Any]) -> None:
        self._engine.clear_faults()


def _make_error(message: str) -> failures.FailureError:
    return failures.FailureError(
        failures.Failure(failures.FailureCode.BAD_REQUEST, message)
    )
