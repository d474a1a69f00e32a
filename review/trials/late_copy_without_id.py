"""Trial, not a case: a late copy of an answer, without its Request-Id, reaches the next caller.

The cause is that of case 1. TROUBLE=0 leaves out the copies."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import (  # noqa: E402
    FRONT_PORT, Server, Unable, call, configuration, read_request, response, route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 10
CLIENTS = 24
SERVERS, GARBLING_SERVERS = 5, 3  # A share of 0.6.
GARBLED_SHARE = 0.03  # Of the answers of a server that garbles.
GARBLE_FROM_S, GARBLE_FOR_S = 2.0, 5.0


class GarblingServer(Server):
    """Sends extra bytes after some of its answers, late: when the next request has come."""

    begin = None

    def _serve(self, connection):
        choice = random.Random()
        extra = b""
        try:
            with connection, connection.makefile("rb") as stream:
                while not self.closed:
                    request = read_request(stream)
                    if request is None:
                        return
                    if extra:
                        self.deployment.record("extra_bytes", server=self.id, before=request.id)
                        connection.sendall(extra)
                        extra = b""
                    answer = self._answer(request)
                    connection.sendall(answer)
                    active = self.begin and 0 <= time.monotonic() - self.begin < GARBLE_FOR_S
                    if active and choice.random() < GARBLED_SHARE:
                        extra = response(200, self.body(request),
                                         [("Server-Stamp", self.stamp(request))])
        except OSError:
            pass


def judge(deployment):
    deployment.start()
    time.sleep(2)
    ip = f"{deployment.network}.200"
    servers = [GarblingServer(deployment, "orders", ip, 20000 + i, deployment.zones[i % 3],
                              slots=4, work_s=0.02) for i in range(SERVERS)]
    if not deployment.replace(configuration(1, ["orders"], [
            route("r", "/orders/", "orders", kind="non_idempotent", attempts=2)])):
        raise Unable("the configuration was not acknowledged")
    deployment.wait_ready()
    time.sleep(6)
    statuses = {}
    foreign = []
    lock = threading.Lock()
    for server in servers[:GARBLING_SERVERS if TROUBLE else 0]:
        server.begin = time.monotonic() + GARBLE_FROM_S

    def client(number):
        entry = deployment.entries[number % len(deployment.entries)]
        end = time.monotonic() + SECONDS
        count = 0
        while time.monotonic() < end:
            count += 1
            request_id = f"q{number:02d}{count:06d}"
            status, headers, body = call(
                entry.ip, FRONT_PORT, "POST", f"/orders/{request_id}", b"one drum head",
                {"Host": "shop.example", "Request-Id": request_id, "Deadline-Ms": "2000"}, 3)
            other = status == 200 and not body.decode().startswith(f"body of {request_id} by ")
            with lock:
                statuses[status] = statuses.get(status, 0) + 1
                foreign.extend([request_id] if other else [])
            if other:
                deployment.record("answer_of_another_request", id=request_id, body=body,
                                  stamp=headers.get("Server-Stamp"))

    clients = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()
    deployment.record("verdict", statuses=statuses, answers_of_other_requests=len(foreign))
    return 1 if foreign else 0


if __name__ == "__main__":
    run_case(__file__, judge, entries=3)
