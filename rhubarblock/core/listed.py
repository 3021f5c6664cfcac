"""An entry of the list of endpoints."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """An endpoint as the list of endpoints describes it.

    Attributes:
      endpoint_id: id of the endpoint; a restarted endpoint may reuse it.
      address: ``host:port`` with an IP address.
      data_centre: data centre in which it runs.
      service: service that it belongs to.
      slots: maximum number of requests that it runs concurrently.
      draining: whether it is about to leave and accepts no new requests.
      born_ms: start time in Unix milliseconds, 0 if unknown; distinguishes the
        starts that share one id and is compared with nothing else.
      cold_remaining_s: seconds for which it stays cold after the entry was
        written; 0 if it is warm, None if the entry does not say.
    """

    endpoint_id: str
    address: str
    data_centre: str
    service: str
    slots: int
    draining: bool
    born_ms: int = 0
    cold_remaining_s: float | None = None
