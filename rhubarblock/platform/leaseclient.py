"""Client for memory leases at the platform's engines."""

from typing import Any

import aiohttp

from rhubarblock.core import listed
from rhubarblock.exchange import dialect as dialects
from rhubarblock.platform import headercodec
from rhubarblock.platform import names
from rhubarblock.store import sendonce

# Seconds to wait for an engine's answer. Answers normally take a few
# milliseconds. One that takes longer may take seconds, so waiting is no use.
CALL_TIMEOUT_S = 0.4

_Answer = dialects.LeaseAnswer


class PlatformLeaseClient(dialects.LeaseClient):
    """Reserves and releases memory at engines."""

    __slots__ = ("_session",)

    def __init__(self, session: aiohttp.ClientSession):
        """Creates a client; the caller closes the session.

        Args:
          session: HTTP session, which may add no headers by itself.
        """
        self._session = session

    async def reserve(
        self, endpoint: listed.ListedEndpoint, order: dialects.LeaseRequest
    ) -> dialects.LeaseReply:
        return await self._send(
            endpoint,
            {
                "operation": "reserve",
                "id": order.lease_id,
                "tokenCount": order.tokens,
                "holdMs": round(order.hold_s * 1e3),
                "wait": False,
            },
        )

    async def release(
        self, endpoint: listed.ListedEndpoint, lease_id: str
    ) -> dialects.LeaseReply:
        return await self._send(
            endpoint, {"operation": "release", "id": lease_id}
        )

    async def _send(
        self, endpoint: listed.ListedEndpoint, body: dict[str, Any]
    ) -> dialects.LeaseReply:
        try:
            async with self._session.post(
                f"http://{endpoint.address}/order",
                json=body,
                headers={
                    "Content-Type": "application/json",
                    names.TARGET: endpoint.endpoint_id,
                },
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
                middlewares=(sendonce.send_once,),
            ) as response:
                await response.read()
                done = response.status == 200
                return dialects.LeaseReply(
                    _Answer.DONE if done else _Answer.REFUSED,
                    headercodec.read_statement(
                        response.status, response.headers
                    ),
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # Nothing was sent.
            return dialects.LeaseReply(_Answer.REFUSED)
        except (aiohttp.ClientError, OSError):
            return dialects.LeaseReply(_Answer.UNSURE)
