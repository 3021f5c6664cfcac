"""Starts an instance whose network to the endpoints can be cut.

The file that ``PARTITION_VARIABLE`` names holds the kind of the present cut; it
is empty while there is none. Connections to peers and to the store are not cut.
"""

import asyncio
from asyncio import selector_events
import os
import pathlib

from rhubarblock.scripts import edgestart

PARTITION_VARIABLE = "SOAK_PARTITION"
STORE_VARIABLE = "SOAK_STORE_PORT"
# The address at which all endpoints and the store listen.
ENDPOINT_HOST = "127.0.0.1"
# Seconds between two checks for a cut that resets open connections.
CHECK_S = 0.05
# New connections hang, are refused or are reset; the last kind resets the open
# ones, too.
HANG = "hang"
REFUSED = "refused"
RESET = "reset"
KINDS = (HANG, REFUSED, RESET)

_open: set[asyncio.Transport] = set()


def read_kind() -> str:
    """Returns the kind of the present cut, or an empty text."""
    return pathlib.Path(os.environ[PARTITION_VARIABLE]).read_text().strip()


def is_cut(address: tuple[str, int]) -> bool:
    """Returns whether a cut applies to an address."""
    store_port = int(os.environ[STORE_VARIABLE])
    return address[0] == ENDPOINT_HOST and address[1] != store_port


def find_refusal(address: tuple[str, int]) -> OSError | None:
    """Returns the error of a new connection that the cut refuses."""
    if not is_cut(address):
        return None
    return {
        REFUSED: ConnectionRefusedError(111, "refused by the soak"),
        RESET: ConnectionResetError(104, "reset by the soak"),
    }.get(read_kind())


def reset_when_cut(loop: asyncio.AbstractEventLoop) -> None:
    """Resets open connections if the present cut does."""
    _open.difference_update([t for t in _open if t.is_closing()])
    if read_kind() == RESET:
        for transport in _open:
            transport.abort()
    elif _open:
        loop.call_later(CHECK_S, reset_when_cut, loop)


def install() -> None:
    """Replaces the event loop's way to connect."""
    loop_class = selector_events.BaseSelectorEventLoop
    connect = loop_class.sock_connect
    create = loop_class.create_connection

    async def sock_connect(self, sock, address):
        if is_cut(address) and read_kind() == HANG:
            await asyncio.Event().wait()
        refusal = find_refusal(address)
        if refusal is not None:
            raise refusal
        await connect(self, sock, address)

    async def create_connection(self, *args, **kwargs):
        transport, protocol = await create(self, *args, **kwargs)
        peer = transport.get_extra_info("peername")
        if peer is not None and is_cut(peer):
            _open.add(transport)
            self.call_later(CHECK_S, reset_when_cut, self)
        return transport, protocol

    loop_class.sock_connect = sock_connect
    loop_class.create_connection = create_connection


if __name__ == "__main__":
    install()
    edgestart.main()
