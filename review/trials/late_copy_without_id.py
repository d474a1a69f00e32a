"""Trial, not a case: a late copy of an answer, without its Request-Id, reaches the next caller.

The cause is that of case 1. TROUBLE=0 leaves out the copies."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import (  # noqa: E402
    LateBytesServer, Unable, configuration, order, response, route, run_case, run_clients)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 10
CLIENTS = 24
SERVERS, GARBLING_SERVERS = 5, 3  # A share of 0.6.
GARBLED_SHARE = 0.03  # Of the answers of a server that garbles.
GARBLE_FROM_S, GARBLE_FOR_S = 2.0, 5.0


def late_copy(server, request):
    return response(200, server.body(request), [("Server-Stamp", server.stamp(request))])


def judge(deployment):
    deployment.start()
    time.sleep(2)
    ip = f"{deployment.network}.200"
    servers = [LateBytesServer(deployment, "orders", ip, 20000 + i, deployment.zones[i % 3],
                               slots=4, work_s=0.02, extra=late_copy, share=GARBLED_SHARE)
               for i in range(SERVERS)]
    if not deployment.replace(configuration(1, ["orders"], [
            route("r", "/orders/", "orders", kind="non_idempotent", attempts=2)])):
        raise Unable("the configuration was not acknowledged")
    deployment.wait_ready()
    time.sleep(6)
    for server in servers[:GARBLING_SERVERS if TROUBLE else 0]:
        server.garble(GARBLE_FROM_S, GARBLE_FOR_S)
    statuses = {}
    foreign = []
    lock = threading.Lock()

    def send(entry, request_id):
        status, headers, body = order(entry, request_id)
        other = status == 200 and not body.decode().startswith(f"body of {request_id} by ")
        with lock:
            statuses[status] = statuses.get(status, 0) + 1
            foreign.extend([request_id] if other else [])
        if other:
            deployment.record("answer_of_another_request", id=request_id, body=body,
                              stamp=headers.get("Server-Stamp"))

    run_clients(deployment, CLIENTS, SECONDS, send)
    deployment.record("verdict", statuses=statuses, answers_of_other_requests=len(foreign))
    return 1 if foreign else 0


if __name__ == "__main__":
    run_case(__file__, judge, entries=3)
