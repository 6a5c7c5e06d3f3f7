"""Membership: the protocol by which each node learns which nodes are in the fleet.

Start with `member.py`, the task that runs the protocol, and `directory.py`, the
records of nodes that this task keeps up to date. `membership_state.py` has the rules
by which a node is suspected or declared dead, and by which the node refutes a
verdict on itself.
"""

from balsamspindle.membership.directory import Directory, NodeState, Placement
from balsamspindle.membership.member import Member

__all__ = ["Directory", "Member", "NodeState", "Placement"]
