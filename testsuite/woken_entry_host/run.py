"""An entry host that wakes after a version was accepted without it handles what waits in its sockets
by that version, and sends nothing twice that may run once now.

Guards against orders that run at two targets, by the wrong group or on a dropped route, and keys that
are shown to targets, since they were read before the host had heard from a control host. Without any control host the host goes on
serving by the routes that it has, but repeats nothing."""

import signal
import threading
import time
from http.client import HTTPConnection

import forward
from fleet import check, http, wait_for
from forward import Call
from scripted_target import ScriptedTarget, header_value, response_with_record

IN_FORCE_S = 3.0  # An accepted version must be in force everywhere after this time.
SENT_BEFORE_WAKE_S = 0.4
SLOW_S = 0.8  # Long enough for a hedge.
ORDERS = 2
KEY = "key-of-arno"


class Waiting:
    """A call on its own thread; `runs` lists the groups whose targets ran it."""

    def __init__(self, runs, entry, host, path, connection=None, key=None):
        self.call = Call(entry, host, path, "POST", b"x", deadline_ms=8000, connection=connection,
                         headers={"Authorization": f"Token {key}"} if key else {})
        self.runs = runs.setdefault(self.call.id, [])
        self.thread = threading.Thread(target=self.call.perform, daemon=True)
        self.thread.start()

    def status(self):
        self.thread.join()
        return self.call.status


def case(deployment):
    controls, entry = deployment.controls, deployment.entries[0]
    process = deployment.processes["entry-1"]
    runs = {}
    shown = []  # Requests with which a target got a key.

    def responder(group):
        def respond(request_id, head):
            runs.setdefault(request_id, []).append(group)
            if header_value(head, "authorization"):
                shown.append(request_id)
            path = head.split(b" ", 2)[1]
            time.sleep(SLOW_S if path.startswith(b"/slow") else 0.01)
            return response_with_record(request_id, group)
        return respond

    groups = ("before", "after")
    for j, group in enumerate(groups):
        for i in range(3):
            ScriptedTarget(f"{group}-{i}", group, deployment.zones[i], deployment.target_address,
                           20500 + 10 * j + i, responder(group), slots=64,
                           with_head=True).keep_reporting(controls)

    def route(host, prefix="/", kind="repeatable", group="before"):
        return {"host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 9000,
                "objective_ms": 600, "rank": 1, "group": group, "max_attempts": 2}

    first = {"shop": route("shop.test"), "turns": route("turns.test"),
             "moves": route("moves.test"), "dropped": route("dropped.test")}
    second = {"shop": route("shop.test"), "orders": route("shop.test", "/slow/", "once"),
              "turns": route("turns.test", kind="once"),
              "moves": route("moves.test", group="after"), "added": route("added.test")}

    def accept(routes, control, customers=()):
        document = deployment.routing_document(deployment.routes(**routes))
        document["groups"] += [{"name": group, "max_connections": 200} for group in groups]
        document["customers"] = list(customers)
        check(http("POST", f"{control}:8000", "/v1/routing/replace", document,
                   timeout=5.0)[0] == 200, "a version is accepted")
        return time.monotonic()

    def status(host, path="/x"):
        return Call(entry, host, path, deadline_ms=1000).perform().status

    def stop_and_wake(name, stopped, stopped_at_wake=()):
        """Stops the entry host and control hosts while the second version is accepted; returns the
        calls that waited for it by host name, and one that it had sent before."""
        accept(first, controls[1])
        wait_for(f"{name}: the first version is in force", lambda: status("dropped.test") == 200
                 and status("added.test") == 404, 10)
        for _ in range(30):  # From usual answers the entry host learns when to hedge.
            check(status("shop.test") == 200 and status("turns.test") == 200, "requests are served")
        # The host reads new connections later than those that it has.
        connections = {host: [HTTPConnection(entry, 8000, timeout=10) for _ in range(ORDERS)]
                       for host in ("shop.test", "turns.test", "moves.test", "dropped.test",
                                    "added.test")}
        for connection in sum(connections.values(), []):
            connection.connect()
        in_flight = Waiting(runs, entry, "turns.test", "/slow/in-flight")
        wait_for("the request runs", lambda: in_flight.runs, 2)
        for host in [process] + stopped:
            host.send(signal.SIGSTOP)
        accepted = accept(second, controls[1])
        time.sleep(max(0.0, accepted + IN_FORCE_S - time.monotonic()))
        calls = {host: [Waiting(runs, entry, host, "/slow/x", connection) for connection in kept]
                 for host, kept in connections.items()}
        for control in stopped_at_wake:
            control.send(signal.SIGSTOP)
        time.sleep(SENT_BEFORE_WAKE_S)
        for host in [process] + stopped:
            host.send(signal.SIGCONT)
        statuses = {host: [call.status() for call in waiting] for host, waiting in calls.items()}
        print(f"{name}: {statuses}, in flight {in_flight.status()}")
        return calls, statuses, in_flight

    def check_once(name, calls, in_flight):
        for host in ("shop.test", "turns.test"):
            twice = [call.call.id for call in calls[host] if len(call.runs) > 1]
            check(not twice, f"{name}: {len(twice)} orders of {host} ran twice")
        check(len(in_flight.runs) == 1, f"{name}: a request in flight was sent again by the older "
              f"version: {in_flight.runs}")

    def check_by_second_version(name, stopped):
        calls, statuses, in_flight = stop_and_wake(name, stopped)
        check_once(name, calls, in_flight)
        for host in ("shop.test", "turns.test", "moves.test", "added.test"):
            check(statuses[host] == [200] * ORDERS, f"{name}: {host}: {statuses[host]}")
        check(statuses["dropped.test"] == [404] * ORDERS, f"{name}: {statuses['dropped.test']}")
        moved = {group for call in calls["moves.test"] for group in call.runs}
        check(moved == {"after"}, f"{name}: requests of a route that moved ran at {moved}")

    check_by_second_version("the host alone", [])
    check_by_second_version("with the control host of its zone", [
        deployment.processes["control-1"]])

    # The first customers are introduced while the host is stopped.
    accept(first, controls[1])
    wait_for("there are no customers", lambda: status("dropped.test") == 200, 10)
    process.send(signal.SIGSTOP)
    time.sleep(0.2)
    accepted = accept(first, controls[1], [{"name": "arno", "keys": [KEY]}])
    time.sleep(max(0.0, accepted + IN_FORCE_S - time.monotonic()))
    known = [Waiting(runs, entry, "shop.test", "/x", key=KEY) for _ in range(ORDERS)]
    strange = [Waiting(runs, entry, "shop.test", "/x", key="strange") for _ in range(ORDERS)]
    time.sleep(SENT_BEFORE_WAKE_S)
    process.send(signal.SIGCONT)
    check([call.status() for call in known] == [200] * ORDERS, "requests with a key are served")
    check([call.status() for call in strange] == [401] * ORDERS, "others are not")
    check(not shown, f"{len(shown)} keys were shown to targets")

    # No control host replies to the host that wakes.
    all_controls = [deployment.processes[f"control-{i + 1}"] for i in range(len(controls))]
    calls, statuses, in_flight = stop_and_wake("without control hosts", [], all_controls)
    check_once("without control hosts", calls, in_flight)
    for host in ("shop.test", "turns.test"):
        check(statuses[host] == [200] * ORDERS, f"{host} is served: {statuses[host]}")
    check(set(statuses["added.test"]) == {503}, f"no 404 is certain: {statuses['added.test']}")
    check(not any(call.runs for call in calls["added.test"]), "what is refused has not run")
    late = [Waiting(runs, entry, "turns.test", f"/slow/late-{i}") for i in range(ORDERS)]
    check([call.status() for call in late] == [200] * ORDERS, "requests are served")
    check(all(len(call.runs) == 1 for call in late), "and not repeated, for as long as that lasts")
    for control in all_controls:
        control.send(signal.SIGCONT)
    wait_for("the second version is in force", lambda: status("added.test") == 200, 10)


forward.run_case(case, network=83, entries=2, controls=3)
