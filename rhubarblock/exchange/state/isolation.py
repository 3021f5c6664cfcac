"""Whether an instance is on the smaller side of a partition.

The configuration is confirmed by the store, or by a peer that reads it. While
the store is away from all instances, peers answer with old state, and every
instance is as good as any other. If most peers do not answer either, others
may well be better off, and this instance will be of no use to its callers once
its lease ends.
"""

import logging

_logger = logging.getLogger(__name__)


class Isolation:
    """Tracks whether this instance is isolated.

    Attributes:
      is_isolated: whether neither the store nor most of the peers that were
        asked answered lately.
    """

    __slots__ = ("is_isolated",)

    def __init__(self) -> None:
        self.is_isolated = False

    def note_confirmed(self) -> None:
        """Records that the store, or a peer that reads it, answered."""
        self._set(False, 0, 0)

    def note_replies(self, asked: int, answered: int) -> None:
        """Records the replies of peers while the store does not answer.

        Args:
          asked: number of peers that were asked for state.
          answered: number of those that answered, with state that is no
            fresher than the one held here.
        """
        self._set(2 * answered < asked, asked, answered)

    def _set(self, is_isolated: bool, asked: int, answered: int) -> None:
        if is_isolated == self.is_isolated:
            return
        self.is_isolated = is_isolated
        message = "the instance is isolated"
        if not is_isolated:
            message = "the instance is not isolated any more"
        _logger.warning(
            message, extra={"peers_asked": asked, "peers_answered": answered}
        )
