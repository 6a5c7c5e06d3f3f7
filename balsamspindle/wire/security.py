"""Authentication between nodes: CURVE keys on the member and link sockets.

All nodes of a fleet share one key pair; each node reads it from its own settings. A
listener accepts only peers whose public key is allowed. Any other connection fails
in the handshake, so none of its messages is read.
"""

from typing import Annotated

import msgspec
import zmq
from zmq.auth.thread import ThreadAuthenticator

__all__ = ["FleetKeys", "protect_connection", "protect_listener", "start_authenticator"]

ZAP_DOMAIN = b"fleet"

# A key in Z85 encoding, as `zmq.curve_keypair()` returns it.
CurveKey = Annotated[str, msgspec.Meta(min_length=40, max_length=40)]


class FleetKeys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fleet's key pair.

    Attributes
    ----------
    public_key, secret_key : str
        The pair that all nodes share, in Z85 encoding.
    allowed_public_keys : tuple of str
        Public keys of other clients that may connect, each with a key pair of its
        own. A node connects only to listeners that have the node's own public key.
        Therefore, nodes with different fleet key pairs can't connect to each other,
        even if each node lists the other node's public key.
    """

    public_key: CurveKey
    secret_key: CurveKey
    allowed_public_keys: tuple[CurveKey, ...] = ()

    def __repr__(self) -> str:
        """Omit the secret key, because logs and error messages show this text."""
        return f"FleetKeys({self.public_key!r})"


class _AllowedKeys:
    """Checks clients' keys for a `ThreadAuthenticator`, which calls `callback`."""

    def __init__(self, keys: FleetKeys) -> None:
        allowed = (keys.public_key, *keys.allowed_public_keys)
        self._allowed = {key.encode() for key in allowed}

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is allowed."""
        return key in self._allowed


def start_authenticator(
    context: zmq.Context, keys: FleetKeys | None
) -> ThreadAuthenticator | None:
    """Start the authenticator that checks each peer of a context's listeners.

    Returns None without keys. Stop the authenticator before the context is
    terminated.
    """
    if keys is None:
        return None
    authenticator = ThreadAuthenticator(context)
    authenticator.start()
    authenticator.configure_curve_callback(ZAP_DOMAIN.decode(), _AllowedKeys(keys))
    return authenticator


def protect_listener(socket: zmq.Socket, keys: FleetKeys | None) -> None:
    """Accept only allowed peers on a socket; call it before `bind`.

    Without keys, the socket accepts all peers.
    """
    if keys is None:
        return
    _set_key_pair(socket, keys)
    socket.setsockopt(zmq.CURVE_SERVER, 1)
    socket.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
    # With this option, the socket rejects all clients while no authenticator runs, for
    # example after the authenticator has failed. Without the option, the socket would
    # accept every client that knows the public key while no authenticator runs.
    socket.setsockopt(zmq.ZAP_ENFORCE_DOMAIN, 1)


def protect_connection(socket: zmq.Socket, keys: FleetKeys | None) -> None:
    """Authenticate this node and its peer to each other; call it before `connect`.

    Without keys, neither is authenticated.
    """
    if keys is None:
        return
    _set_key_pair(socket, keys)
    socket.setsockopt(zmq.CURVE_SERVERKEY, keys.public_key.encode())


def _set_key_pair(socket: zmq.Socket, keys: FleetKeys) -> None:
    socket.setsockopt(zmq.CURVE_PUBLICKEY, keys.public_key.encode())
    socket.setsockopt(zmq.CURVE_SECRETKEY, keys.secret_key.encode())
