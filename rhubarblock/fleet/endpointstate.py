"""State machine of one endpoint, as seen by one entry instance.

The transitions are a table, which shows at a glance which ones are possible.
A transition costs about 20 microseconds, so it is triggered by a change of
state and never per request.
"""

import logging
from typing import Any

import transitions

from rhubarblock.core import endpoint as endpoints
from rhubarblock.kernel import logs

_State = endpoints.EndpointState

_ACTIVE = [_State.KNOWN, _State.LOADING, _State.READY, _State.SUSPECT]
_PRESENT = [*_ACTIVE, _State.DRAINING, _State.LEAVING]

_TRANSITIONS: tuple[Any, ...] = (
    ("start_loading", [_State.KNOWN, _State.READY], _State.LOADING),
    ("become_ready", [_State.KNOWN, _State.LOADING], _State.READY),
    ("recover", [_State.SUSPECT], _State.READY),
    (
        "suspect",
        [_State.KNOWN, _State.LOADING, _State.READY],
        _State.SUSPECT,
    ),
    ("drain", _ACTIVE, _State.DRAINING),
    ("end_drain", [_State.DRAINING], _State.KNOWN),
    ("leave", [*_ACTIVE, _State.DRAINING], _State.LEAVING),
    ("restart", _PRESENT[1:], _State.KNOWN),
    ("vanish", _PRESENT, _State.GONE),
)

_logger = logging.getLogger(__name__)


# One machine without a model of its own is shared by all endpoints.
_MACHINE = transitions.Machine(
    model=None,
    states=_State,
    transitions=[list(step) for step in _TRANSITIONS],
    initial=_State.KNOWN,
    auto_transitions=False,
)
# Source states of each transition. They are checked beforehand, since the
# machine raises an error for any other state.
_SOURCES = {step: frozenset(sources) for step, sources, _ in _TRANSITIONS}


class EndpointStateMachine:
    """State of one endpoint; impossible transitions are ignored.

    Attributes:
      state: the current state.
    """

    __slots__ = ("_endpoint_id", "state")

    def __init__(self, endpoint_id: str):
        """Creates the state machine in state KNOWN."""
        self._endpoint_id = endpoint_id
        self.state = _State.KNOWN

    def start_loading(self) -> bool:
        """Records that no model is loaded yet."""
        return self._trigger("start_loading")

    def become_ready(self) -> bool:
        """Records that it can serve."""
        return self._trigger("become_ready")

    def suspect(self) -> bool:
        """Records that it failed."""
        return self._trigger("suspect")

    def recover(self) -> bool:
        """Records that it served again after a failure."""
        return self._trigger("recover")

    def drain(self) -> bool:
        """Records that it gets no new requests until the drain ends."""
        return self._trigger("drain")

    def end_drain(self) -> bool:
        """Records that it may get requests again."""
        return self._trigger("end_drain")

    def leave(self) -> bool:
        """Records that it is about to stop."""
        return self._trigger("leave")

    def restart(self) -> bool:
        """Records that another process replaced it."""
        return self._trigger("restart")

    def vanish(self) -> bool:
        """Records that it is gone for good."""
        return self._trigger("vanish")

    def _trigger(self, step: str) -> bool:
        """Triggers a transition; returns whether the state changed."""
        before = self.state
        if before not in _SOURCES[step]:
            return False
        _MACHINE.events[step].trigger(self)
        logs.log_state_change(
            _logger,
            f"endpoint {self._endpoint_id}",
            before.value,
            self.state.value,
            step=step,
        )
        return True
