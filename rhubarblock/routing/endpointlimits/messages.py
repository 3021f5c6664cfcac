"""Messages between instances about the rate limits of endpoints.

Times are sent as ages, as instances have no common clock.
"""

import dataclasses

# Age in seconds of the statement in a report about an endpoint that stated no
# limit. It is older than any statement, so it replaces none. An earlier version
# expects a statement in each report.
UNSTATED_AGE_S = 1e9


@dataclasses.dataclass(slots=True, frozen=True)
class ColdReport:
    """A period in which an endpoint is or was cold.

    Attributes:
      begun_age_s: seconds since it began.
      left_s: seconds until its end; 0 or less if it is over.
      is_observed: whether an instance observed it at the endpoint, so that the
        others can't know it from the list.
    """

    begun_age_s: float
    left_s: float
    is_observed: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class LimitReport:
    """The limit that an endpoint stated.

    Attributes:
      endpoint_id: the endpoint.
      per_s: requests a second from all instances together; None for no limit.
      sent_age_s: seconds since the request was sent that the endpoint answered.
      received_age_s: seconds since the answer arrived.
      cold: its latest cold period; None if none is known.
    """

    endpoint_id: str
    per_s: float | None
    sent_age_s: float
    received_age_s: float
    cold: ColdReport | None = None


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
