"""Decides in which data centres an exchange may run.

A route and a workspace may each name home regions. None stands for no bound,
which differs from an empty set: with an empty set, nothing may be used.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from rhubarblock.core import listed as lists


def parse_regions(value: Any) -> frozenset[str]:
    """Returns the home regions of an operator's entry; empty: no bound.

    Args:
      value: a list of names, or None.

    Raises:
      ValueError: it is neither; passing it over would lift a bound.
    """
    if value is None:
        return frozenset()
    if not isinstance(value, list) or not all(map(_is_name, value)):
        raise ValueError(
            f"home regions are a list of names, not {str(value)[:80]!r}"
        )
    return frozenset(value)


def parse_table(value: Any) -> dict[str, str]:
    """Returns the region of each data centre.

    Raises:
      ValueError: the value is no table of names.
    """
    if not isinstance(value, dict) or not all(map(_is_name, value.values())):
        raise ValueError("a table of data centres and regions is expected")
    return value


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and value != ""


def combine(
    route_regions: frozenset[str], workspace_regions: frozenset[str]
) -> frozenset[str] | None:
    """Returns the regions that the bounds of a route and a workspace allow.

    Args:
      route_regions: home regions of the route; empty: no bound.
      workspace_regions: home regions of the workspace; empty: no bound.

    Returns:
      None if neither has a bound; empty if the two have no region in common.
    """
    if route_regions and workspace_regions:
        return route_regions & workspace_regions
    return route_regions or workspace_regions or None


def select(
    endpoints: list[lists.ListedEndpoint],
    home_regions: frozenset[str] | None,
    regions: Mapping[str, str],
) -> list[lists.ListedEndpoint]:
    """Returns the endpoints that an exchange may use.

    An endpoint in a data centre whose region is unknown is left out if there is
    a bound.

    Args:
      endpoints: endpoints to choose from.
      home_regions: regions in which the exchange may run; None: no bound.
      regions: region of each data centre.
    """
    if home_regions is None:
        return endpoints
    return [e for e in endpoints if regions.get(e.data_centre) in home_regions]


def can_serve(
    home_regions: frozenset[str] | None, regions: Mapping[str, str]
) -> bool:
    """Returns whether any data centre may ever serve an exchange.

    If no regions are known, any non-empty set of home regions may have a data
    centre, so only an empty set excludes all of them.

    Args:
      home_regions: regions in which the exchange may run; None: no bound.
      regions: region of each data centre; empty if the regions are unknown.
    """
    if home_regions is None:
        return True
    if not regions:
        return bool(home_regions)
    return not home_regions.isdisjoint(regions.values())


def count_unknown(
    endpoints: Iterable[lists.ListedEndpoint], regions: Mapping[str, str]
) -> int:
    """Returns the number of endpoints whose region is unknown."""
    return sum(e.data_centre not in regions for e in endpoints)
