"""Ids of requests and attempts, which contain their owner.

A request id is ``cmpl-<instance>~<incarnation>~<number>``; an attempt id adds
a slash and a short suffix. A reader of an engine's list of attempts can thus
determine which start of which instance each attempt belongs to.
"""

import dataclasses

_PREFIX = "cmpl-"
_SEPARATOR = "~"


@dataclasses.dataclass(slots=True, frozen=True)
class Owner:
    """One start of an entry instance.

    Attributes:
      instance_id: the instance.
      incarnation: number of the start; increases with each restart.
    """

    instance_id: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.instance_id}{_SEPARATOR}{self.incarnation}"


def format_request_id(owner: Owner, number: int) -> str:
    """Returns the id of a request.

    Args:
      owner: start of the instance that serves the request.
      number: sequence number of the request within that start.
    """
    return f"{_PREFIX}{owner}{_SEPARATOR}{number}"


def parse_request_id(attempt_id: str) -> str:
    """Returns the id of the request that an attempt belongs to."""
    return attempt_id.partition("/")[0]


def parse_owner(attempt_id: str) -> Owner | None:
    """Returns the owner of an attempt, or None if the id has another format."""
    request_id = parse_request_id(attempt_id)
    if not request_id.startswith(_PREFIX):
        return None
    parts = request_id[len(_PREFIX) :].rsplit(_SEPARATOR, 2)
    if len(parts) != 3 or not parts[1].isdigit():
        return None
    return Owner(parts[0], int(parts[1]))
