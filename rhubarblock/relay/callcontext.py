"""The context that all handlers of the callers' APIs share."""

from collections.abc import Callable

from aiohttp import web

from rhubarblock.core import catalogue as catalogues
from rhubarblock.kernel import timers as timer_service
from rhubarblock.relay import callers
from rhubarblock.relay import prompts

TIMEOUT_HEADER = "X-Timeout-S"


class CallContext:
    """Authentication, catalogue, clock and ids for all paths of an instance.

    Attributes:
      catalogue: returns the catalogue in force.
      timers: timer service.
      make_id: returns a new request id.
    """

    __slots__ = (
        "_callers",
        "_default_timeout_s",
        "catalogue",
        "make_id",
        "timers",
    )

    def __init__(
        self,
        catalogue: Callable[[], catalogues.Catalogue],
        timers: timer_service.Timers,
        make_id: Callable[[], str],
        default_timeout_s: float,
    ):
        """Creates the context.

        Args:
          catalogue: returns the catalogue in force.
          timers: timer service.
          make_id: returns a new request id.
          default_timeout_s: timeout of a call that names none, in seconds.
        """
        self.catalogue = catalogue
        self.timers = timers
        self.make_id = make_id
        self._callers = callers.CallerIndex(catalogue)
        self._default_timeout_s = default_timeout_s

    def find_caller(self, http: web.Request) -> catalogues.Credential:
        """Returns the credential that sent a call.

        Raises:
          failures.FailureError: as ``callers.CallerIndex.find``.
        """
        return self._callers.find(http.headers.get("Authorization", ""))

    def read_timeout(self, http: web.Request) -> float:
        """Returns the timeout of a call in seconds.

        Raises:
          failures.FailureError: BAD_REQUEST if its header is not a number in
            the allowed range.
        """
        return prompts.read_timeout(
            http.headers.get(TIMEOUT_HEADER), self._default_timeout_s
        )
