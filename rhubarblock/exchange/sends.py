"""Records on which connections one exchange was sent.

An answer echoes the id of the caller's attempt, which all sends of that attempt
share. Only the connection tells answers to two sends of one attempt apart.
"""


class Send:
    """One send of an exchange.

    Attributes:
      local_port: port of this end of the connection; 0 if it is not known.
      position: number of the request on its connection, from 1.
      is_relayed: whether a peer forwards the connection.
      skipped: number of answers that arrived before its own and belong to
        another request.
    """

    __slots__ = ("is_relayed", "local_port", "position", "skipped")

    def __init__(self, local_port: int, position: int, is_relayed: bool):
        self.local_port = local_port
        self.position = position
        self.is_relayed = is_relayed
        self.skipped = 0


class SendHistory:
    """The sends of one exchange.

    Connections are compared by identity.

    Attributes:
      latest: the send of the present attempt; None until it is sent.
    """

    __slots__ = ("_connections", "latest")

    def __init__(self) -> None:
        self._connections: set[object] = set()
        self.latest: Send | None = None

    def note(self, connection: object, send: Send) -> None:
        """Records a send on a connection."""
        self._connections.add(connection)
        self.latest = send

    def has_used(self, connection: object) -> bool:
        """Returns whether the exchange was sent on a connection before."""
        return connection in self._connections
