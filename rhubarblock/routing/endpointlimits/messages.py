"""What instances tell each other of endpoints' rate limits.

Moments travel as ages, since no two instances share a clock.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LimitReport:
    """What an endpoint said of its limit.

    Attributes:
      endpoint_id: the endpoint.
      per_s: requests a second from all instances; None for no limit.
      sent_age_s: seconds since the request was sent that it answered.
      heard_age_s: seconds since the answer was heard.
    """

    endpoint_id: str
    per_s: float | None
    sent_age_s: float
    heard_age_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class PermitRequest:
    """Pledges an instance's share of a limit, and asks for permits.

    Attributes:
      report: what the asker knows of the limit.
      wanted: permits that it could use at once; none only pledges.
      free_in_s: seconds until its share is free of an earlier pledge.
      within_s: seconds within which a permit must come to be of use.
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
      count: how many.
      delay_s: seconds until the first one may be used.
      spacing_s: seconds from each one to the next.
      retry_after_s: seconds after which more may be asked for.
    """

    endpoint_id: str
    count: int
    delay_s: float
    spacing_s: float
    retry_after_s: float
