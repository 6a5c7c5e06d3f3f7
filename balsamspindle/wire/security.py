"""Trust between nodes: CURVE keys on the member and link sockets.

All nodes of a fleet hold one key pair, from their own settings. A listener
takes only peers whose public key is allowed; a connection of anybody else
ends in the handshake, so that none of its messages is read.
"""

from typing import Annotated

import msgspec
import zmq
from zmq.auth.thread import ThreadAuthenticator

__all__ = ["FleetKeys", "protect_connection", "protect_listener", "start_authenticator"]

ZAP_DOMAIN = b"fleet"

# A key as Z85, as `zmq.curve_keypair()` gives it.
CurveKey = Annotated[str, msgspec.Meta(min_length=40, max_length=40)]


class FleetKeys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fleet's key pair.

    Attributes
    ----------
    public_key, secret_key : str
        One pair for all nodes, Z85.
    allowed_public_keys : tuple of str
        Public keys of further clients that may connect, each with a pair of
        its own. Nodes with two different fleet pairs can't talk by it: a node
        expects its own public key of each listener.
    """

    public_key: CurveKey
    secret_key: CurveKey
    allowed_public_keys: tuple[CurveKey, ...] = ()

    def __repr__(self) -> str:
        """Return the keys without the secret one, for logs and errors."""
        return f"FleetKeys({self.public_key!r})"


class _AllowedKeys:
    """Answers the authenticator which keys may connect."""

    def __init__(self, keys: FleetKeys) -> None:
        allowed = (keys.public_key, *keys.allowed_public_keys)
        self._allowed = {key.encode() for key in allowed}

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell whether a client's public key is allowed."""
        return key in self._allowed


def start_authenticator(
    context: zmq.Context, keys: FleetKeys | None
) -> ThreadAuthenticator | None:
    """Start what the listeners of a context ask about each peer.

    Without keys there is nothing to start. Stop it before the context ends.
    """
    if keys is None:
        return None
    authenticator = ThreadAuthenticator(context)
    authenticator.start()
    authenticator.configure_curve_callback(ZAP_DOMAIN.decode(), _AllowedKeys(keys))
    return authenticator


def protect_listener(socket: zmq.Socket, keys: FleetKeys | None) -> None:
    """Let only allowed peers connect to a socket; call before `bind`."""
    if keys is None:
        return
    _set_pair(socket, keys)
    socket.setsockopt(zmq.CURVE_SERVER, 1)
    socket.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
    # Without it the library takes everybody who knows the public key when
    # no authenticator runs: a fault there must close the socket, not open it.
    socket.setsockopt(zmq.ZAP_ENFORCE_DOMAIN, 1)


def protect_connection(socket: zmq.Socket, keys: FleetKeys | None) -> None:
    """Prove this node to the peer, and have the peer proven; before `connect`."""
    if keys is None:
        return
    _set_pair(socket, keys)
    socket.setsockopt(zmq.CURVE_SERVERKEY, keys.public_key.encode())


def _set_pair(socket: zmq.Socket, keys: FleetKeys) -> None:
    socket.setsockopt(zmq.CURVE_PUBLICKEY, keys.public_key.encode())
    socket.setsockopt(zmq.CURVE_SECRETKEY, keys.secret_key.encode())
