"""What an Idempotency-Key costs: latency and writes at the platform.

Run: ``python -m bench.claims``. One ingress, one gate at another node, each
request non-idempotent; sends with and without a key take turns.
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
    """Print medians and 99th percentiles, and writes for each request."""
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.put_settings(SETTINGS)
        gate = fleet.start_node("gate", "zone-1")
        ingress = fleet.start_node("ingress", "zone-1")
        fleet.start_backend("contract", SERVICE, gate)
        fleet.wait_ready([gate, ingress], ["contract"])
        connection = http.client.HTTPConnection(ingress.caller_address)
        times_ms = {"without key": [], "first send": [], "resend": []}
        writes_before = _writes(fleet)
        for _ in range(REQUESTS):
            key = {"Idempotency-Key": uuid.uuid4().hex}
            for kind, headers in (
                ("without key", {}),
                ("first send", key),
                ("resend", key),
            ):
                times_ms[kind].append(_send_ms(connection, headers))
        writes = _writes(fleet) - writes_before
    for kind, values in times_ms.items():
        values.sort()
        print(
            f"{kind}: p50 {values[len(values) // 2]:.2f} ms, "
            f"p99 {values[len(values) * 99 // 100]:.2f} ms"
        )
    print(f"transactions for each key sent twice: {writes / REQUESTS:.2f}")


def _send_ms(connection, headers) -> float:
    start_s = time.perf_counter()
    connection.request("POST", "/sign", b"signature", headers)
    response = connection.getresponse()
    response.read()
    assert response.headers["X-Balsamspindle-Outcome"] == "answered"
    return (time.perf_counter() - start_s) * 1000


def _writes(fleet) -> int:
    return call(fleet.platform_address, "/counts").json().get("transact", 0)


if __name__ == "__main__":
    main()
