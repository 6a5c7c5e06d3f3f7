"""Token buckets of customers, at a node that grants their requests.

Over any period, a bucket grants at most its rate times the period plus its burst. This
holds even if rate and burst change during the period, and even if the customer sends
many times its limit through all nodes at once.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["Buckets", "Denial", "Rate"]

# Tokens of a new bucket. It is not full, because another node may have granted the
# customer's whole burst just before this node started to grant.
INITIAL_TOKENS = 2.0
BUCKETS_MAX = 100_000
WAIT_MAX_S = 30.0


class Rate(NamedTuple):
    """Refill rate and capacity of a bucket.

    Attributes
    ----------
    per_s : float
        Tokens added each second.
    burst : float
        Maximum number of tokens in the bucket.
    """

    per_s: float
    burst: float


class Denial(NamedTuple):
    """The bucket has no token; the caller may retry after `wait_s`."""

    wait_s: float


@dataclass
class _Bucket:
    """One customer's tokens.

    Attributes
    ----------
    filled_s : float
        Time up to which tokens have been added at the refill rate.
    unreserved_from_s : float
        Each token that is added before this time is reserved for one refused caller.
        The refusal asked this caller to retry at the time when the token is added.
    """

    tokens: float
    filled_s: float
    unreserved_from_s: float = 0.0

    def fill(self, rate: Rate, now_s: float) -> None:
        refilled = self.tokens + max(0.0, now_s - self.filled_s) * rate.per_s
        self.tokens = min(refilled, rate.burst)
        self.filled_s = max(self.filled_s, now_s)


class Buckets:
    """One node's token buckets by customer; thread-safe.

    Parameters
    ----------
    now_s : float
        When this node starts to grant requests.
    """

    def __init__(self, now_s: float) -> None:
        self._lock = threading.Lock()
        # Since this time, this node has granted nothing to customers without a bucket.
        # So a new bucket gets INITIAL_TOKENS and the tokens that its refill rate yields
        # from this time until the bucket is created.
        self._ungranted_since_s = now_s
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def try_spend(self, customer: str, rate: Rate, now_s: float) -> Denial | None:
        """Spend a token for one request; return a denial if the bucket has none."""
        with self._lock:
            bucket = self._filled_bucket(customer, rate, now_s)
            if bucket.tokens >= 1:
                bucket.tokens -= 1
                return None
            return Denial(self._reserve_token(bucket, rate, now_s))

    def refund(self, customer: str) -> None:
        """Put back the token of a request that did not run."""
        with self._lock:
            bucket = self._buckets.get(customer)
            if bucket is not None:
                # If the tokens now exceed the burst, the next `fill` removes the
                # excess.
                bucket.tokens += 1

    def keep_only(self, is_kept: Callable[[str], bool], now_s: float) -> None:
        """Discard the buckets of customers whose requests another node now grants.

        If such a bucket were not discarded, it would fill up while the other node
        grants the customer's requests. Once this node grants them again, the customer
        could use the bursts of both nodes.
        """
        with self._lock:
            self._ungranted_since_s = now_s
            for customer in list(self._buckets):
                if not is_kept(customer):
                    del self._buckets[customer]

    def __len__(self) -> int:
        return len(self._buckets)

    def _filled_bucket(self, customer: str, rate: Rate, now_s: float) -> _Bucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(INITIAL_TOKENS, min(self._ungranted_since_s, now_s))
            self._buckets[customer] = bucket
            if len(self._buckets) > BUCKETS_MAX:
                self._buckets.popitem(last=False)
                self._ungranted_since_s = now_s
        self._buckets.move_to_end(customer)
        bucket.fill(rate, now_s)
        return bucket

    @staticmethod
    def _reserve_token(bucket: _Bucket, rate: Rate, now_s: float) -> float:
        """Reserve a future token for a refused caller; return its wait in seconds.

        The caller may retry when the token is added to the bucket. Each token is
        reserved for one caller, so that refused callers do not all retry at once.
        """
        if rate.per_s <= 0:
            return WAIT_MAX_S
        first_s = now_s + (1 - bucket.tokens) / rate.per_s
        at_s = max(first_s, bucket.unreserved_from_s)
        if at_s - now_s > WAIT_MAX_S:
            return WAIT_MAX_S
        bucket.unreserved_from_s = at_s + 1 / rate.per_s
        return at_s - now_s
