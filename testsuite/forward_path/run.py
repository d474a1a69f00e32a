"""Forwarded requests from end to end: routing changes, draining targets, stopping entry hosts."""

import signal
import threading
import time
from http.client import HTTPConnection

import forward
from forward import Call
from fleet import check, http, wait_for


def case(deployment):
    # A search over all shards returns the right records in the right order.
    for i in range(20):
        call = Call(deployment.entries[i % 2], "search.test", f"/q{i}?x=1").perform()
        check(call.status == 200 and call.missing == 0, f"{call.status}, missing {call.missing}")
        check(call.response_fault(deployment.groups) is None,
              call.response_fault(deployment.groups))
    # A request that may run at most once runs once, with its body.
    order = Call(deployment.entries[0], "orders.test", "/o1", "POST", b"x" * 50000).perform()
    check(order.status == 200, f"order: {order.status}")
    check(len(deployment.runs_by_request().get(order.id, [])) == 1, "the order ran once")
    check(Call(deployment.entries[0], "nobody.test", "/").perform().status == 404,
          "an unknown host name has no route")

    # Invalid documents change nothing. The highest version wins, and the first document of a
    # version stays in force.
    bad = deployment.routes(search={"host": "search.test", "path_prefix": "/",
                                    "kind": "repeatable", "timeout_ms": 0, "group": "orders"})
    check(deployment.replace_routing(bad) == 400, "a route without a timeout is refused")
    check(deployment.replace_routing(deployment.routes(orders=None)) == 200,
          "a new version is accepted")
    wait_for("the route is gone on every host", lambda: all(
        Call(entry, "orders.test", "/o2", "POST").perform().status == 404
        for entry in deployment.entries), 3.0)
    newest = deployment.version
    deployment.version -= 2
    check(deployment.replace_routing(deployment.routes()) == 200, "an old version is acknowledged")
    for control in deployment.controls:
        check(deployment.read_routing(control)["version"] == newest,
              "an old version does not replace a newer one")
    deployment.version = newest

    # Searches and routing changes succeed while control hosts are killed in turn.
    for name in ("control-1", "control-2"):
        deployment.processes[name].kill()
        wait_for("the other control hosts accept a new version", lambda: any(
            http("POST", f"{control}:8000", "/v1/routing/replace",
                 deployment.routing_document(deployment.routes()), timeout=5.0)[0] == 200
            for control in deployment.controls), 10.0)
        check(Call(deployment.entries[0], "search.test", "/during").perform().status == 200,
              "searches succeed")
        deployment.processes[name].restart()
        time.sleep(1.5)

    # Draining targets get no new request later than 3 s after the acknowledgement.
    stop = threading.Event()

    def load():
        i = 0
        while not stop.is_set():
            Call(deployment.entries[i % 2], "search.test", f"/load{i}").perform()
            i += 1
    thread = threading.Thread(target=load)
    thread.start()
    time.sleep(1)
    drained = time.time()
    deployment.processes["targets-zone-1"].send(signal.SIGTERM)
    deployment.processes["targets-zone-1"].handle.wait(15)
    stop.set()
    thread.join()
    late = [event for events in deployment.runs_by_request().values() for event in events
            if event["target"].split("-")[-2] in drained_ports(deployment)
            and event["time"] > drained + 3.2]
    check(not late, f"requests run after the drain: {late[:3]}")

    # A stopping entry host finishes its requests and still serves persistent connections.
    persistent = HTTPConnection(deployment.entries[0], 8000, timeout=5)
    check(Call(deployment.entries[0], "search.test", "/kept",
               connection=persistent).perform().status == 200,
          "a request on a persistent connection succeeds")
    deployment.processes["entry-1"].send(signal.SIGTERM)
    wait_for("the stopping entry host is not ready", lambda: http(
        "GET", f"{deployment.entries[0]}:8001", "/ready", timeout=1.0)[0] != 200, 1.0)
    last = Call(deployment.entries[0], "search.test", "/last", connection=persistent).perform()
    check(last.status == 200 and last.headers.get("Connection") == "close",
          f"the last response closes the connection: {last.status} {last.headers}")
    check(deployment.processes["entry-1"].handle.wait(10) == 0, "the entry host exits with 0")


def drained_ports(deployment):
    return {str(deployment.first_port + i) for i in range(len(deployment.groups) + 1)}


forward.run_case(case, network=41)
