"""Interface to plain services, i.e. endpoints that are not engines."""

import abc

from rhubarblock.core import request as requests


class ServiceClient(abc.ABC):
    """Sends one call to one endpoint of a plain service."""

    @abc.abstractmethod
    async def send(
        self, address: str, call: requests.ServiceCall, attempt_id: str
    ) -> requests.ServiceAnswer:
        """Sends the call at most once and returns the complete answer.

        Args:
          address: ``host:port`` of the endpoint.
          call: what to send.
          attempt_id: echoed by the service; an answer with another id is
            rejected.

        Raises:
          failure.FailureError: the verdict says whether the call may have run.
        """
