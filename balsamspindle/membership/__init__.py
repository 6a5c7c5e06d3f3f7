"""Which nodes there are, and how they tell each other."""

from balsamspindle.membership.directory import Directory, NodeState, Placement
from balsamspindle.membership.member import Member

__all__ = ["Directory", "Member", "NodeState", "Placement"]
