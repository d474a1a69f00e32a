"""Trial, not a case: heartbeats for a service that isn't configured put all servers of another service out
of use. TROUBLE=0 leaves them out."""

import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import (  # noqa: E402
    CONTROL_PORT, FRONT_PORT, HEARTBEAT_MS, Server, Unable, call, configuration, route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 200


def keep_reporting(deployment, servers):
    """Another writer, which lists the addresses of the servers as those of its own service."""
    born = int(time.time() * 1000)

    def loop():
        sequence = 0
        while not deployment.closing:
            sequence += 1
            for i, server in enumerate(servers):
                body = json.dumps({
                    "Service": "inventory", "Address": f"{server.ip}:{server.port}",
                    "Zone": server.zone, "Version": "v1", "Slots": 1, "State": "ready",
                    "ColdRemainingMs": 0, "Sequence": sequence, "born": born})
                control = deployment.controls[sequence % len(deployment.controls)]
                status, _, _ = call(control.ip, CONTROL_PORT, "POST",
                                    f"/instances/inventory-{i}/heartbeat", body,
                                    {"Content-Type": "application/json"}, 1)
                deployment.record("foreign_heartbeat", to=control.name, status=status)
            time.sleep(HEARTBEAT_MS / 1000)

    threading.Thread(target=loop, daemon=True).start()


def judge(deployment):
    deployment.start()
    time.sleep(2)
    ip = f"{deployment.network}.200"
    servers = [Server(deployment, "orders", ip, 20000 + i, zone)
               for i, zone in enumerate(deployment.zones)]
    if not deployment.replace(configuration(1, ["orders"], [route("r", "/orders/", "orders")])):
        raise Unable("the configuration was not acknowledged")
    time.sleep(1)
    if TROUBLE:
        keep_reporting(deployment, servers)
    deployment.wait_ready()
    time.sleep(6)
    statuses = {}
    for i in range(REQUESTS):
        entry = deployment.entries[i % len(deployment.entries)]
        status, _, body = call(
            entry.ip, FRONT_PORT, "GET", f"/orders/{i}", None,
            {"Host": "shop.example", "Request-Id": f"q{i:06d}", "Deadline-Ms": "2000"}, 3)
        statuses[status] = statuses.get(status, 0) + 1
        deployment.record("answered", id=f"q{i:06d}", status=status, body=body[:120])
        time.sleep(0.05)
    beats = {server.id: server.acknowledged for server in servers}
    deployment.record("verdict", statuses=statuses, acknowledged_heartbeats=beats)
    return 1 if statuses.get(200, 0) == 0 else 0


if __name__ == "__main__":
    run_case(__file__, judge)
