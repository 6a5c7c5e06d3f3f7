"""Membership: which nodes the fleet has, and the protocol by which they learn it.

Start with `member.py`, the task that runs the protocol, and `directory.py`, the
records that it keeps up to date. `membership_state.py` has the rules by which nodes are
suspected, declared dead and refute both.
"""

from balsamspindle.membership.directory import Directory, NodeState, Placement
from balsamspindle.membership.member import Member

__all__ = ["Directory", "Member", "NodeState", "Placement"]
