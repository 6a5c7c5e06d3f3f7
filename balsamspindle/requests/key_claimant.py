"""The claim of one request's Idempotency-Key, from its lookup to the caller's reply."""

import msgspec
from expression import Result

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.claims import (
    REPEAT_ONLY_VERSION,
    ClaimsTable,
    GateIdentity,
    claim_key,
)
from balsamspindle.wire import Claim, Dispatch, Reply

__all__ = ["KeyClaimant", "record_claim_reply", "with_claim"]

# How long after a request's deadline its claim may be read for the caller's reply. This
# is enough for a few calls to a store that answers within milliseconds. If the read
# fails, the caller gets `unknown` and has to resend the request with the same key.
FINAL_READ_TIMEOUT_S = 0.1


class KeyClaimant:
    """Reads, writes and moves the claim of one request's key.

    Parameters
    ----------
    service, key : str
        The request's service, and its Idempotency-Key. Two services may use the same
        key for different requests.
    deadline_s : float
        Deadline of the request, on the monotonic clock.
    """

    def __init__(
        self, claims: ClaimsTable, service: str, key: str, deadline_s: float
    ) -> None:
        self._claims = claims
        self._key = claim_key(service, key)
        self._deadline_s = deadline_s
        self._claim: Claim | None = None
        self._is_void = False
        self._is_unclaimed = False
        self._unavailable = False

    def look_up(self) -> None:
        """Read the key's claim, unless it is known or an earlier read got no answer.

        The claim is needed even if no backend server can run the request now: the
        claim's gate can still report whether a request with the key ran.
        """
        if self._claim is not None or self._unavailable:
            return
        match self._claims.read(self._key, self._deadline_s):
            case Result(tag="ok", ok=claim):
                self._claim, self._is_unclaimed = claim, claim is None
            case _:
                self._unavailable = True

    def owner_id(self) -> str | None:
        """Return the id of the only node that may run the request; None if unknown."""
        if self._claim is None or self._is_void:
            return None
        return self._claim.node_id

    def claim_for(self, gate: GateIdentity, gate_time_s: float) -> Claim | Reason:
        """Return the claim for an attempt, or why the attempt must not be sent.

        Claims the key for the gate if no claim is known, or if the gate that the known
        claim names replied 'not run'.

        Parameters
        ----------
        gate_time_s : float
            Current time on the gate's monotonic clock; see `StoredClaim.gate_time_s`.
        """
        if self._claim is None or self._is_void:
            version = self._claim.version if self._claim else 0
            claim = self._claims.write(
                self._key, version, gate, gate_time_s, self._deadline_s
            )
            if claim is None:
                self._unavailable = True
                return Reason.CLAIMS_UNAVAILABLE
            self._claim, self._is_void = claim, False
        if self._claim[:2] != gate:
            return Reason.CLAIM_MOVED
        return self._claim

    def record_reply(self, reply: Reply) -> None:
        """Record the reply to an attempt at the gate that the claim names.

        After the reply 'not run', the claim may be moved to another gate.
        """
        if reply.outcome is Outcome.NOT_RUN and reply.reason is not Reason.KEY_REUSED:
            self._is_void = True

    def final_reply(self, reply: Reply) -> Reply:
        """Return the reply for the caller.

        The caller gets 'not run' only if no request with the key ran. Suppose that an
        earlier request with the key had the outcome 'unknown'. After 'not run', the
        caller would send the request with a new key, and the request could run twice.

        Even if the claim's gate replied 'not run', a request that the caller resent may
        have moved the claim to another gate and may be running there. So the claim is
        read once more.
        """
        if reply.outcome is not Outcome.NOT_RUN or reply.reason is Reason.KEY_REUSED:
            return reply
        if self._claim is None:
            self.look_up()
        if self._claim is None and self._is_unclaimed:
            return reply
        if self._is_void and not self._has_moved():
            return reply
        reason = reply.reason
        if reason is Reason.CLAIM_MOVED:
            # No attempt was sent to the gate that the claim names, and that gate may
            # have run a request with the key.
            reason = Reason.DUPLICATE
        return msgspec.structs.replace(reply, outcome=Outcome.UNKNOWN, reason=reason)

    def _has_moved(self) -> bool:
        """Return whether another request may have moved the claim to another gate."""
        if self._claim.version == REPEAT_ONLY_VERSION:
            return True
        match self._claims.read(self._key, self._deadline_s + FINAL_READ_TIMEOUT_S):
            case Result(tag="ok", ok=Claim(version=version)):
                return version != self._claim.version
        return True


def with_claim(
    claimant: KeyClaimant | None,
    dispatch: Dispatch,
    gate: GateIdentity,
    gate_time_s: float,
) -> Dispatch | Reply:
    """Claim the request's key for a gate; return the dispatch with the claim.

    Returns a 'not run' reply instead if the dispatch must not be sent.

    Parameters
    ----------
    claimant : KeyClaimant or None
        None for a request without a key; its dispatch is returned unchanged.
    """
    if claimant is None:
        return dispatch
    match claimant.claim_for(gate, gate_time_s):
        case Reason() as reason:
            return Reply(dispatch.attempt_id, Outcome.NOT_RUN, reason)
        case claim:
            return msgspec.structs.replace(dispatch, claim=claim)


def record_claim_reply(claimant: KeyClaimant | None, reply: Reply) -> None:
    """Pass a gate's reply to `KeyClaimant.record_reply` if the request has a key."""
    if claimant is not None:
        claimant.record_reply(reply)
