"""Starts a deployment of this folder on loopback and shows what it does.

Without options: three nodes of the association, one in each availability
zone, and the backend servers beside them. With ``--full``: both deployments
complete, one after the other.
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


def say(text: str = "") -> None:
    """Write one line at once."""
    print(text, flush=True)


def show(program: str, *arguments: str) -> None:
    """Run one program and show the command and what it wrote."""
    short = [word for word in arguments if not word.startswith("127.")]
    say(f"\n$ balsamspindle-{program} {' '.join(w for w in short if w != '--node')}")
    say(run(program, *arguments).rstrip())


def show_requests(deployment: Deployment) -> None:
    """Make one request of each route and method, at the nodes in turn."""
    say("\nOne request of each route, at the nodes in turn:")
    requests = [
        (method, route) for route in deployment.routes() for method in route["methods"]
    ]
    for number, (method, route) in enumerate(requests):
        node = deployment.nodes[number % len(deployment.nodes)]
        body = "signed" if method in ("POST", "PUT") else ""
        answer = deployment.call(node, method, f"{route['path_prefix']}/{number}", body)
        server = answer.body.get("server", "-")
        say(
            f"  {method:<5} {route['path_prefix']:<17} {route['execution']:<15} at "
            f"{node['node_id']:<17} {answer.outcome} {answer.status} by {server}"
        )
        if (answer.outcome, answer.status) != ("answered", 200):
            raise DemoFailed(f"{method} {route['path_prefix']}: {answer}")


def show_loss(deployment: Deployment) -> None:
    """Kill one backend server; requests go on."""
    route = next(r for r in deployment.routes() if r["execution"] == "idempotent")
    lost = next(
        server
        for server in deployment.backend_servers
        if server["service"] == route["service"]
    )
    say(f"\nKilling {lost['name']}; {REQUESTS_AFTER_LOSS} requests follow at once:")
    deployment.programs.pop(lost["name"]).kill()
    near = next(n for n in deployment.nodes if n["node_id"] == lost["node"])
    answers = [
        deployment.call(near, "GET", f"{route['path_prefix']}/{number}")
        for number in range(REQUESTS_AFTER_LOSS)
    ]
    answered = sum(answer.status == 200 for answer in answers)
    servers = sorted({answer.body.get("server", "-") for answer in answers})
    say(f"  {answered} of {len(answers)} answered whole, by {', '.join(servers)}")
    if answered != len(answers):
        raise DemoFailed("not each request was answered after the loss")
    show("ctl", "explain", answers[0].request_id, *deployment.node_options)
    first = answers[0].request_id
    show("timeline", "--request", first, *deployment.node_options)
    wait_until(lambda: _is_told(deployment, lost), f"the loss of {lost['name']}")
    show("timeline", "--service", lost["service"], *deployment.node_options)
    show("ctl", "explain", lost["service"], "--node", near["admin_address"])


def show_gray_failure(deployment: Deployment) -> None:
    """Let one backend server fail at real work while its health stays well."""
    route = next(
        route
        for route in reversed(deployment.routes())
        if route["execution"] == "idempotent" and "GET" in route["methods"]
    )
    sick = next(
        server
        for server in deployment.backend_servers
        if server["service"] == route["service"]
    )
    near = next(n for n in deployment.nodes if n["node_id"] == sick["node"])
    say(f"\n{sick['name']} fails at real work; its health endpoint says it is well:")
    set_fault(sick["address"], "error")
    failed = 0
    for number in range(GRAY_REQUESTS_MAX):
        answer = deployment.call(near, "GET", f"{route['path_prefix']}/{number}")
        failed += answer.status != 200
        if number % 10 == 9 and _is_left_out(near, sick):
            break
    else:
        raise DemoFailed(f"{sick['name']} still gets requests")
    say(f"  left out after {number + 1} requests; {failed} callers met its error")
    show("ctl", "explain", sick["service"], "--node", near["admin_address"])
    show("timeline", "--service", sick["service"], "--node", near["admin_address"])
    set_fault(sick["address"], "none")


def _is_left_out(node: dict, server: dict) -> bool:
    view = get(node["admin_address"], f"/services/{server['service']}/explain")
    rows = {row["backend_server_id"]: row for row in view["backend_servers"]}
    return not rows[server["name"]]["takes_work"]


def _is_told(deployment: Deployment, lost: dict) -> bool:
    told = run("timeline", "--event", "backend_server_silent", *deployment.node_options)
    return f"backend_server={lost['name']}" in told


def demonstrate(name: str, whole: bool, folder: Path) -> None:
    """Show one deployment from its start to its orderly end."""
    deployment = Deployment(name, whole, folder)
    zones = {node["availability_zone"] for node in deployment.nodes}
    say(
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
    say(f"\nAll processes of {name} ended in order: {'yes' if ended else 'no'}")
    if not ended:
        raise DemoFailed("a process did not end in order")


def main() -> int:
    """Run the demo; return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--full", action="store_true", help="both deployments, complete"
    )
    whole = parser.parse_args().full
    started_s = time.monotonic()
    try:
        with tempfile.TemporaryDirectory() as folder:
            for name in DEPLOYMENTS if whole else DEPLOYMENTS[:1]:
                demonstrate(name, whole, Path(folder))
    except DemoFailed as error:
        say(f"the demo failed: {error}")
        return 1
    say(f"\nThe demo is done after {time.monotonic() - started_s:.0f} s.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
