"""Messages between instances about the rate limits of endpoints.

Times are sent as ages, as instances have no common clock.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LimitReport:
    """The limit that an endpoint stated.

    Attributes:
      endpoint_id: the endpoint.
      per_s: requests a second from all instances together; None for no limit.
      sent_age_s: seconds since the request was sent that the endpoint answered.
      received_age_s: seconds since the answer arrived.
    """

    endpoint_id: str
    per_s: float | None
    sent_age_s: float
    received_age_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class PermitRequest:
    """Pledges an instance's share of a limit and asks for permits.

    Attributes:
      report: the limit as the requester knows it.
      wanted: number of permits that it could use now; 0 only pledges.
      free_in_s: seconds until its share is free of an earlier pledge.
      within_s: seconds after which a permit would be too late.
    """

    report: LimitReport
    wanted: int
    free_in_s: float
    within_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class PermitGrant:
    """Permits for requests to an endpoint, evenly spaced.

    Attributes:
      endpoint_id: the endpoint.
      count: number of permits.
      delay_s: seconds until the first one may be used.
      spacing_s: seconds from each one to the next.
      retry_after_s: seconds after which more may be requested.
    """

    endpoint_id: str
    count: int
    delay_s: float
    spacing_s: float
    retry_after_s: float
