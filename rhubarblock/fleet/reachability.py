"""Reachability of other data centres from this one.

Only representatives contact other data centres. Each reports to its own data
centre which others it cannot reach, and a data centre counts as unreachable if
every representative reports it.
"""

from collections.abc import Iterable
import logging

from rhubarblock.kernel import logs

_REACHABLE = "reachable"
_UNREACHABLE = "unreachable"

_logger = logging.getLogger(__name__)


class Reachability:
    """Reachability reports of the representatives and of this instance."""

    __slots__ = ("_own_id", "_reports")

    def __init__(self, own_id: str):
        """Creates an empty set of reports.

        Args:
          own_id: id of this instance.
        """
        self._own_id = own_id
        self._reports: dict[str, frozenset[str]] = {own_id: frozenset()}

    @property
    def own_report(self) -> frozenset[str]:
        """The data centres that this instance itself cannot reach."""
        return self._reports[self._own_id]

    def set_own(self, data_centre: str, reachable: bool) -> bool:
        """Records whether this instance can reach another data centre.

        Args:
          data_centre: the other data centre.
          reachable: whether a call succeeded.

        Returns:
          Whether this changes what was recorded before.
        """
        before = self.own_report
        after = before - {data_centre} if reachable else before | {data_centre}
        if after == before:
            return False
        self._reports[self._own_id] = after
        states = (_UNREACHABLE, _REACHABLE)
        logs.log_state_change(
            _logger,
            f"data centre {data_centre}",
            states[not reachable],
            states[reachable],
        )
        return True

    def update_report(
        self, instance_id: str, unreachable: Iterable[str] | None
    ) -> bool:
        """Stores or removes the report of a peer.

        Args:
          instance_id: id of the peer.
          unreachable: data centres that it cannot reach; None if it is not
            a representative.

        Returns:
          Whether the stored report changed.
        """
        before = self._reports.get(instance_id)
        if unreachable is None:
            self._reports.pop(instance_id, None)
        else:
            self._reports[instance_id] = frozenset(unreachable)
        return self._reports.get(instance_id) != before

    def forget(self, instance_id: str) -> None:
        """Removes the report of an instance that is gone."""
        self._reports.pop(instance_id, None)

    def list_unreachable(
        self, representatives: Iterable[str]
    ) -> frozenset[str]:
        """Returns the data centres that no representative can reach.

        Args:
          representatives: ids of the representatives of this data centre.
        """
        reports = [
            self._reports[instance_id]
            for instance_id in representatives
            if instance_id in self._reports
        ]
        if not reports:
            return frozenset()
        return frozenset.intersection(*reports)
