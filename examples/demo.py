"""Runs an example deployment on loopback and shows how it handles failures.

Without options it starts three nodes of the deployment ``association``, one in each
availability zone, and the backend servers beside them. With ``--full`` it runs both
deployments in full, one after the other.
"""

import argparse
import sys
import tempfile
import time
from pathlib import Path

from deployment import DemoFailed, Deployment, get, run, set_fault, wait_until

REQUESTS_AFTER_LOSS = 60
GRAY_REQUESTS_MAX = 400
DEPLOYMENTS = ("association", "kelvale")


def print_line(text: str = "") -> None:
    """Print one line and flush it."""
    print(text, flush=True)


def show(program: str, *arguments: str) -> None:
    """Run one program of balsamspindle; print the command and its output."""
    shown = [word for word in arguments if not word.startswith("127.")]
    print_line(
        f"\n$ balsamspindle-{program} {' '.join(w for w in shown if w != '--node')}"
    )
    print_line(run(program, *arguments).rstrip())


def show_requests(deployment: Deployment) -> None:
    """Send one request for each route and method, to the nodes in turn."""
    print_line("\nOne request for each route and method, to the nodes in turn:")
    requests = [
        (method, route) for route in deployment.routes() for method in route["methods"]
    ]
    for number, (method, route) in enumerate(requests):
        node = deployment.nodes[number % len(deployment.nodes)]
        body = "signed" if method in ("POST", "PUT") else ""
        answer = deployment.call(node, method, f"{route['path_prefix']}/{number}", body)
        server = answer.body.get("server", "-")
        print_line(
            f"  {method:<5} {route['path_prefix']:<17} {route['execution']:<15} at "
            f"{node['node_id']:<17} {answer.outcome} {answer.status} by {server}"
        )
        if (answer.outcome, answer.status) != ("answered", 200):
            raise DemoFailed(f"{method} {route['path_prefix']}: unexpected {answer}")


def show_loss(deployment: Deployment) -> None:
    """Kill one backend server and check that requests are still answered."""
    route = next(r for r in deployment.routes() if r["execution"] == "idempotent")
    lost = next(
        server
        for server in deployment.backend_servers
        if server["service"] == route["service"]
    )
    print_line(
        f"\nKilling {lost['name']}; {REQUESTS_AFTER_LOSS} requests follow immediately:"
    )
    deployment.programs.pop(lost["name"]).kill()
    near_node = next(n for n in deployment.nodes if n["node_id"] == lost["node"])
    answers = [
        deployment.call(near_node, "GET", f"{route['path_prefix']}/{number}")
        for number in range(REQUESTS_AFTER_LOSS)
    ]
    answered = sum(answer.status == 200 for answer in answers)
    servers = sorted({answer.body.get("server", "-") for answer in answers})
    print_line(
        f"  {answered} of {len(answers)} answered in full, by {', '.join(servers)}"
    )
    if answered != len(answers):
        raise DemoFailed("some requests were not answered after the loss")
    show("ctl", "explain", answers[0].request_id, *deployment.node_options)
    first = answers[0].request_id
    show("timeline", "--request", first, *deployment.node_options)
    wait_until(
        lambda: _is_reported(deployment, lost),
        f"a report of the loss of {lost['name']}",
    )
    show("timeline", "--service", lost["service"], *deployment.node_options)
    show("ctl", "explain", lost["service"], "--node", near_node["admin_address"])


def show_gray_failure(deployment: Deployment) -> None:
    """Make one backend server fail requests while it reports itself healthy."""
    route = next(
        route
        for route in reversed(deployment.routes())
        if route["execution"] == "idempotent" and "GET" in route["methods"]
    )
    faulty = next(
        server
        for server in deployment.backend_servers
        if server["service"] == route["service"]
    )
    near_node = next(n for n in deployment.nodes if n["node_id"] == faulty["node"])
    print_line(
        f"\n{faulty['name']} fails requests; its health endpoint reports it as healthy:"
    )
    set_fault(faulty["address"], "error")
    failed = 0
    for number in range(GRAY_REQUESTS_MAX):
        answer = deployment.call(near_node, "GET", f"{route['path_prefix']}/{number}")
        failed += answer.status != 200
        if number % 10 == 9 and _is_left_out(near_node, faulty):
            break
    else:
        raise DemoFailed(f"{faulty['name']} still receives requests")
    print_line(
        f"  after {number + 1} requests to its service, the backend server is held out;"
        f" {failed} of the requests returned an error to the caller"
    )
    show("ctl", "explain", faulty["service"], "--node", near_node["admin_address"])
    show(
        "timeline", "--service", faulty["service"], "--node", near_node["admin_address"]
    )
    set_fault(faulty["address"], "none")


def _is_left_out(node: dict, server: dict) -> bool:
    view = get(node["admin_address"], f"/services/{server['service']}/explain")
    rows = {row["backend_server_id"]: row for row in view["backend_servers"]}
    return not rows[server["name"]]["takes_work"]


def _is_reported(deployment: Deployment, lost: dict) -> bool:
    output = run(
        "timeline", "--event", "backend_server_silent", *deployment.node_options
    )
    return f"backend_server={lost['name']}" in output


def demonstrate(name: str, full: bool, folder: Path) -> None:
    """Start one deployment, run all demonstrations on it and stop it."""
    deployment = Deployment(name, full, folder)
    zones = {node["availability_zone"] for node in deployment.nodes}
    print_line(
        f"\n== {name}: {len(deployment.nodes)} nodes in {len(zones)} availability "
        f"zones, {len(deployment.backend_servers)} backend servers"
    )
    try:
        deployment.start()
        show("ctl", "status", *deployment.node_options)
        show_requests(deployment)
        show_loss(deployment)
        show_gray_failure(deployment)
    finally:
        ended = deployment.stop()
    print_line(
        f"\nAll processes of {name} shut down cleanly: {'yes' if ended else 'no'}"
    )
    if not ended:
        raise DemoFailed("a process did not shut down cleanly")


def main() -> int:
    """Run the demo and return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--full", action="store_true", help="both deployments in full")
    full = parser.parse_args().full
    started_s = time.monotonic()
    try:
        with tempfile.TemporaryDirectory() as folder:
            for name in DEPLOYMENTS if full else DEPLOYMENTS[:1]:
                demonstrate(name, full, Path(folder))
    except DemoFailed as error:
        print_line(f"the demo failed: {error}")
        return 1
    print_line(f"\nThe demo finished after {time.monotonic() - started_s:.0f} s.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
