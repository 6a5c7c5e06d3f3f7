"""A backend server that answers twice, beside a node that runs as a process."""

import json

from tests.platform_fleet import PlatformFleet
from tests.settings_probes import HOST, SERVICES, configuration
from tests.stuttering_server import StutteringServer, echoed_answer
from tests.utils import call, wait_until

ERROR = b"500 Error"
SIGNATURE = b"X-Response-Signature"


def test_a_caller_that_repeats_an_id_gets_no_answer_to_its_earlier_request():
    """Guards against a success that reaches a caller where its request got an error."""
    statuses = {b"/0/first": b"200 OK", b"/0/second": ERROR}

    def answer(request: bytes, number: int) -> bytes:
        status = statuses.get(request.split(b" ")[1], b"200 OK")
        return echoed_answer(request, status, SIGNATURE)

    server = StutteringServer(answer)
    with PlatformFleet() as fleet:
        fleet.put_configuration(configuration(1, 1))
        (node,) = fleet.start_nodes(1)
        wait_until(lambda: node.revision() >= 1, "the node has settings")
        body = {
            "address": server.address,
            "info": {"service": SERVICES[0], "slots": 3},
            "status": {"state": "ready", "sequence": 1},
            "born": 1_700_000_000_000,
        }
        data = json.dumps(body).encode()
        announced = call(node.announce_address, "/instances/i-1", "PUT", data)
        assert announced.status == 200
        wait_until(lambda: node.status_of(HOST, "/0/ready") == 200, "a server is ready")
        for path, status in (("/0/first", 200), ("/0/second", 500)):
            headers = {"Host": HOST, "X-Request-Id": "r1"}
            answer = call(node.caller_address, path, headers=headers)
            assert (status, path) == (answer.status, answer.body.decode())
    server.close()
