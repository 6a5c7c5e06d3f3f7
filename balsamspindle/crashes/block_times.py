"""How long a quarantine blocks a request."""

import math

__all__ = ["BLOCKED_MAX_S", "BLOCKED_S", "block_time_s"]

# A request's first quarantine blocks it for this long: it is sent to no backend server.
# Then it is sent again, as the backend server's fault may have been corrected. If it
# causes one more crash, the next quarantine blocks it for twice as long.
BLOCKED_S = 600.0
BLOCKED_MAX_S = 86_400.0
DOUBLINGS_MAX = math.ceil(math.log2(BLOCKED_MAX_S / BLOCKED_S))


def block_time_s(term: int) -> float:
    """Return how long a request's quarantine number `term`, from 1 on, blocks it."""
    return min(BLOCKED_S * 2 ** min(term - 1, DOUBLINGS_MAX), BLOCKED_MAX_S)
