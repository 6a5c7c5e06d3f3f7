"""TCP keep-alive for the listeners of a node."""

import zmq

__all__ = ["keep_alive"]

IDLE_S = 30
INTERVAL_S = 10
PROBES = 3


def keep_alive(listener: zmq.Socket) -> None:
    """Close accepted connections whose peer is gone; call it before `bind`.

    A VM that loses power closes no connection. Without keep-alive, each connection of
    such a peer would stay open, and occupy a descriptor, as long as this node runs.
    """
    listener.setsockopt(zmq.TCP_KEEPALIVE, 1)
    listener.setsockopt(zmq.TCP_KEEPALIVE_IDLE, IDLE_S)
    listener.setsockopt(zmq.TCP_KEEPALIVE_INTVL, INTERVAL_S)
    listener.setsockopt(zmq.TCP_KEEPALIVE_CNT, PROBES)
