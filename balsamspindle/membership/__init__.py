"""Which nodes there are, and how they tell each other.

Start with `member.py`, the task, and `directory.py`, what it keeps up to date;
`knowledge.py` has the rules of suspicion and death.
"""

from balsamspindle.membership.directory import Directory, NodeState, Placement
from balsamspindle.membership.member import Member

__all__ = ["Directory", "Member", "NodeState", "Placement"]
