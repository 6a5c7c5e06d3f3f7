"""Latency and platform writes that an Idempotency-Key adds to a request.

Run: ``python -m bench.claims``. Non-idempotent requests go through one ingress to
the gate of another node. Each round sends three requests: one without a key, one with a
new key, and one that repeats the second.
"""

import http.client
import time
import uuid

from tests.utils import Fleet, call

REQUESTS = 400
SERVICE = "crew/contracts"
SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/sign": {
        "service": SERVICE,
        "execution": "non_idempotent",
        "methods": ["POST"],
    },
}


def main() -> None:
    """Print the latency of each kind of request, and the transactions per key."""
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.put_settings(SETTINGS)
        gate = fleet.start_node("gate", "zone-1")
        ingress = fleet.start_node("ingress", "zone-1")
        fleet.start_backend("contract", SERVICE, gate)
        fleet.wait_ready([gate, ingress], ["contract"])
        connection = http.client.HTTPConnection(ingress.caller_address)
        latencies_ms = {"without key": [], "first send": [], "resend": []}
        transactions_before = _transactions(fleet)
        for _ in range(REQUESTS):
            key = {"Idempotency-Key": uuid.uuid4().hex}
            for kind, headers in (
                ("without key", {}),
                ("first send", key),
                ("resend", key),
            ):
                latencies_ms[kind].append(_send_ms(connection, headers))
        transactions = _transactions(fleet) - transactions_before
    for kind, values in latencies_ms.items():
        values.sort()
        print(
            f"{kind}: p50 {values[len(values) // 2]:.2f} ms, "
            f"p99 {values[len(values) * 99 // 100]:.2f} ms"
        )
    print(f"transactions per key (each sent twice): {transactions / REQUESTS:.2f}")


def _send_ms(connection, headers) -> float:
    start_s = time.perf_counter()
    connection.request("POST", "/sign", b"signature", headers)
    response = connection.getresponse()
    response.read()
    assert response.headers["X-Balsamspindle-Outcome"] == "answered"
    return (time.perf_counter() - start_s) * 1000


def _transactions(fleet) -> int:
    return call(fleet.platform_address, "/counts").json().get("transact", 0)


if __name__ == "__main__":
    main()
