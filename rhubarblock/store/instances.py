"""The platform's eventually consistent list of instances.

An entry of the list is an object ``instances/<id>`` of the object API; the
platform shows a change of it only some seconds later. The list is therefore a
hint: a listed instance may already be gone or leaving, and a running one may
not be listed yet.
"""

import abc
from collections.abc import Mapping
import dataclasses
import enum
import json
import logging
from typing import Any

import aiohttp

from rhubarblock.core import capacity as capacities
from rhubarblock.core import jsontext
from rhubarblock.httpclient import reading
from rhubarblock.store import store as stores
from rhubarblock.store import storewire

OBJECT_PREFIX = "instances/"
CALL_TIMEOUT_S = 5.0
# Longest list in bytes.
MAX_LIST_BYTES = 64_000_000

_logger = logging.getLogger(__name__)


class InstanceKind(enum.Enum):
    """What runs at a listed address."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(slots=True, frozen=True)
class ListedInstance:
    """One entry of the list.

    Attributes:
      instance_id: unique name.
      address: ``host:port`` with an IP address.
      data_centre: data centre in which it runs.
      service: service of the catalogue; empty for an entry instance.
      kind: what runs there.
      leaving: whether it is about to stop and accepts no new requests.
      capacity: capacity of its machine.
    """

    instance_id: str
    address: str
    data_centre: str
    service: str
    kind: InstanceKind
    leaving: bool = False
    capacity: capacities.Capacity = capacities.UNKNOWN


class InstanceSource(abc.ABC):
    """Source of the list."""

    @abc.abstractmethod
    async def fetch_instances(self) -> list[ListedInstance]:
        """Returns the list, sorted by instance id.

        Raises:
          store.StoreError: the platform did not answer.
        """


def name_object(instance_id: str) -> str:
    """Returns the name of the object behind an entry of the list."""
    return OBJECT_PREFIX + instance_id


def encode_instance(instance: ListedInstance) -> bytes:
    """Encodes an entry as the content of its object."""
    fields = dataclasses.asdict(instance)
    fields["kind"] = instance.kind.value
    return json.dumps(fields, sort_keys=True).encode()


def decode_instance(value: bytes) -> ListedInstance:
    """Decodes the result of ``encode_instance``."""
    fields = jsontext.load(value)
    return ListedInstance(
        instance_id=fields["instance_id"],
        address=fields["address"],
        data_centre=fields["data_centre"],
        service=fields["service"],
        kind=InstanceKind(fields["kind"]),
        leaving=fields["leaving"],
        capacity=_decode_capacity(fields.get("capacity", {})),
    )


def _decode_capacity(fields: Mapping[str, Any]) -> capacities.Capacity:
    """Decodes a capacity; earlier releases write none or only a part."""
    return capacities.Capacity(
        link_mbps=float(fields.get("link_mbps", 0.0)),
        cores=float(fields.get("cores", 0.0)),
    )


class HttpInstanceSource(InstanceSource):
    """Fetches the list over HTTP."""

    __slots__ = ("_headers", "_session", "_url")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        client_id: str = "",
    ):
        """Creates a client; the caller closes the session.

        Args:
          session: HTTP session to use.
          base_url: ``http://host:port`` of the platform.
          client_id: name under which the platform counts the calls.
        """
        self._session = session
        self._url = base_url.rstrip("/") + storewire.INSTANCES_PATH
        self._headers = {storewire.CLIENT_HEADER: client_id}

    async def fetch_instances(self) -> list[ListedInstance]:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url, headers=self._headers, timeout=timeout
            ) as response:
                _check_status(response)
                content = await reading.read_body(response, MAX_LIST_BYTES)
        except (aiohttp.ClientError, OSError) as error:
            raise stores.StoreError(
                stores.StoreErrorKind.UNAVAILABLE,
                reading.describe_error(error),
            ) from error
        return _decode_list(content)


def _decode_list(content: bytes) -> list[ListedInstance]:
    """Returns the valid entries of a list; any writer may have written one.

    Raises:
      store.StoreError: none of the entries is valid.
    """
    lines = content.splitlines()
    entries = []
    for line in lines:
        try:
            entries.append(decode_instance(line))
        except jsontext.MISMATCH as error:
            _logger.warning(
                "entry of the list refused",
                extra={"reason": reading.describe_error(error)},
            )
    if lines and not entries:
        raise stores.StoreError(
            stores.StoreErrorKind.UNAVAILABLE, "no entry of the list is valid"
        )
    return entries


def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    kind = storewire.KIND_BY_STATUS.get(
        response.status, stores.StoreErrorKind.UNAVAILABLE
    )
    raise stores.StoreError(kind, f"the platform answered {response.status}")
