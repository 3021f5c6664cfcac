"""An endpoint as the list of endpoints shows it."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """One line of the list.

    Attributes:
      endpoint_id: names an endpoint; a later start may have the same.
      address: ``host:port`` with an IP number.
      data_centre: data centre in which it runs.
      service: service that it belongs to.
      slots: requests that it runs at once.
      draining: whether it is about to leave and wants no new work.
      born_ms: when it started, in Unix milliseconds; tells the starts under
        one id apart and is held against nothing else. 0 where it isn't known.
    """

    endpoint_id: str
    address: str
    data_centre: str
    service: str
    slots: int
    draining: bool
    born_ms: int = 0
