"""Hosts of this version beside those of the previous one, and on their stores, in both directions.

usage: run.py BIN PREVIOUS_BIN

Hosts are replaced one after the other, first by this version, then by the previous one, then by
this one again, under searches, orders and changes of the routes. Departures that this version has
recorded outlive all of it, also a compaction of the log by a host of the previous version. An entry
host of this version counts each shard once that a document names twice, whichever version its
control hosts have and wherever the document was stored. Orders about zones are acknowledged by hosts
of either version, whichever version leads, and all hosts then agree on the zones. A customer whose
quota is left out and set again stays within it, and gets it, whichever versions the leader and the
entry hosts have, unless both are of the previous one."""

import json
import os
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import forward
from forward import Call
from fleet import check, http, wait_for
from quotas import WINDOW_S, Sender, most_in_window
from scripted_target import ScriptedTarget, header_value, response_with_record

GROUP = "crew"
RATE, BURST = 20, 20
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
IN_FORCE_S = 4.0
LEASE_OF_SHARES_S = 11
COMPACTION_ENTRIES = 4000  # After so many entries the log is compacted.
LEASE_S = 2.5


class Traffic:
    """Searches and orders, and changes of the routes, until it is stopped."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.stopped = False
        self.calls = []
        self.threads = [threading.Thread(target=self.run, args=(i,), daemon=True) for i in range(4)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        count = 0
        while not self.stopped:
            count += 1
            entry = self.deployment.entries[(number + count) % len(self.deployment.entries)]
            order = number == 0
            self.calls.append(Call(entry, "orders.test" if order else "search.test",
                                   f"/{number}-{count}", "POST" if order else "GET",
                                   b"x" if order else None, deadline_ms=1500).perform())
            time.sleep(0.01)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()
        runs = self.deployment.runs_by_request()
        twice = [call.id for call in self.calls
                 if call.host == "orders.test" and len(runs.get(call.id, [])) > 1]
        check(not twice, f"orders that ran twice: {twice}")
        faults = [fault for fault in (call.response_fault(self.deployment.groups)
                                      for call in self.calls) if fault]
        check(not faults, f"{faults[:3]}")
        # A host that is replaced breaks the connections of callers that do not look at its readiness.
        good = sum(call.status == 200 for call in self.calls)
        answered = sum(call.status != 0 for call in self.calls)
        print(f"{len(self.calls)} calls, {answered} answered, {good} with 200")
        check(good >= 0.98 * answered, f"{good} of {answered}")


def case(deployment, programs, previous):
    targets = {name: ScriptedTarget(name, GROUP, deployment.zones[0], deployment.target_address,
                                    20500 + i, lambda request_id: (time.sleep(0.01), response_with_record(
                                        request_id, GROUP))[1])
               for i, name in enumerate(("first", "second", "stays"))}
    deployment.add_group(GROUP, max_connections=30)
    targets["stays"].keep_reporting(deployment.controls)
    control = deployment.controls
    callers = ThreadPoolExecutor(16)

    def status_of(address):
        status, _, body = http("GET", f"{address}:8000", "/v1/status", timeout=1)
        return json.loads(body) if status == 200 else {}

    def leader():
        return [i for i, address in enumerate(control)
                if status_of(address).get("role") == "leader"]

    def is_settled():
        statuses = [status_of(address) for address in control]
        return all(status.get("current") and sum(
            member["voter"] for member in status["members"]) == len(control) for status in statuses)

    def replace(name, version):
        process = deployment.processes[name]
        process.stop()
        process.command[0] = os.path.join(version, os.path.basename(process.command[0]))
        process.restart()
        if name.startswith("control"):
            wait_for(f"{name} follows the log again", is_settled, 20)
        else:
            address = deployment.entries[int(name.split("-")[1]) - 1]
            wait_for(f"{name} is ready", lambda: http(
                "GET", f"{address}:8001", "/ready", timeout=1.0)[0] == 200, 20)

    def replace_all(version):
        for kind, count in (("control", len(control)), ("entry", len(deployment.entries))):
            for i in range(count):
                replace(f"{kind}-{i + 1}", version)
                change_routes(control[i % 3])
                newest = deployment.version
                for address in control:
                    wait_for("the newest version is read", lambda a=address: (
                        deployment.read_routing(a) or {}).get("version") == newest, 5)

    def change_routes(address):
        document = deployment.routing_document(deployment.routes(**{GROUP: {
            "host": f"{GROUP}.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
            "objective_ms": 200, "rank": 1, "group": GROUP, "max_attempts": 2}}))
        document["groups"].append({"name": GROUP, "max_connections": 30})
        status = http("POST", f"{address}:8000", "/v1/routing/replace", document, timeout=5)[0]
        check(status == 200, f"a change gets {status}")

    def leave(address, name, incarnation):
        return http("POST", f"{address}:8000", f"/v1/targets/{name}/leave",
                    {"incarnation": incarnation}, timeout=2)[0]

    def check_departed(names):
        """Kills all processes; late reports of the targets that left then bring none back."""
        everything = [process for name, process in deployment.processes.items()
                      if name.startswith(("control", "entry"))]
        for process in everything:
            process.kill()
        for process in everything:
            process.restart()
        wait_for("the log is followed again", is_settled, 20)
        for name in names:
            for address in control:
                check(targets[name].report(address, sequence=1) == 200, "the report is accepted")
        before = {name: len(targets[name].arrival_times) for name in targets}
        end = time.monotonic() + LEASE_S
        while time.monotonic() < end:
            list(callers.map(lambda i: Call(deployment.entries[i % 2], f"{GROUP}.test",
                                            "/x").perform(), range(16)))
        used = {name for name in targets if len(targets[name].arrival_times) > before[name]}
        check(used == {"stays"}, f"{used} are used")

    def check_shards_count_once(text):
        calls = [Call(deployment.entries[0], "search.test", f"/{i}").perform() for i in range(20)]
        faults = [call.response_fault(deployment.groups) for call in calls]
        check(not any(faults), f"{text}: {faults}")
        check(all(call.status == 200 for call in calls), f"{text}: all are served")

    def check_zone_orders(text):
        """Each host takes an order and another one its opposite; one zone stays evacuated."""
        def agree(zones):
            return all([entry["zone"] for entry in status_of(address).get("evacuated_zones", [])]
                       == zones for address in control)

        def order(address, name, what):
            wait_for(f"{text}: {what} is acknowledged", lambda: http(
                "POST", f"{address}:8000", f"/v1/zones/{name}/{what}", timeout=1)[0] == 200, 5)

        order(control[0], "stays", "evacuate")
        for i, address in enumerate(control):
            order(address, "other", "evacuate")
            wait_for(f"{text}: hosts agree", lambda: agree(["other", "stays"]), 5)
            order(control[(i + 1) % len(control)], "other", "readmit")
            wait_for(f"{text}: hosts agree", lambda: agree(["stays"]), 5)

    def accept_customers(*customers):
        public = {name: {**route, "public": True} for name, route in
                  ((route.pop("name"), route) for route in deployment.routes())}
        document = deployment.routing_document(deployment.routes(**public, quoted={
            "host": "quoted.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
            "objective_ms": 200, "rank": 1, "group": "quoted", "max_attempts": 2}))
        document["groups"].append({"name": "quoted", "max_connections": 200})
        document["customers"] = list(customers)
        wait_for("a version with customers is accepted", lambda: http(
            "POST", f"{control[0]}:8000", "/v1/routing/replace", document, timeout=5)[0] == 200, 5)

    def check_returning_quota(text):
        limited = {"name": "large", "keys": ["key-large"], "requests_per_s": RATE, "burst": BURST}
        other = {"name": "other", "keys": ["key-other"], "requests_per_s": 1000, "burst": 1000}
        sender = Sender(deployment.entries)
        accept_customers(limited, other)
        for entry in deployment.entries:
            wait_for(f"{text}: the quota is in force",
                     lambda e=entry: sender.send("large", e)[1] == 200, 10)
        time.sleep(LEASE_OF_SHARES_S)  # What a replaced host held is reserved for so long.
        for load in ("before", "after"):
            statuses = [result[1] for result in sender.send_for(5, "large", 16)]
            check(set(statuses) == {200}, f"{text}, {load}: within the quota: {statuses}")
            accept_customers({"name": "large", "keys": ["key-large"]}, other)
            time.sleep(0.5)
            accept_customers(limited, other)
        time.sleep(IN_FORCE_S)
        begin = time.monotonic()
        for entry in deployment.entries:
            sender.send_for(2, "large", 60, entry)
        most = most_in_window(at for at in quoted_runs if at >= begin)
        print(f"{text}: {most} of {ALLOWED:.0f} in {WINDOW_S} s")
        check(most <= ALLOWED, f"{text}: {most} requests ran")
        check(most >= 0.7 * (RATE * 4), f"{text}: {most} requests ran, the quota is more")

    # A quota that comes back, with leaders and entry hosts of both versions.
    quoted_runs = []

    def respond(request_id, head):
        if header_value(head, "snipe-customer") == "large":
            quoted_runs.append(time.monotonic())
        return response_with_record(request_id, "quoted")

    ScriptedTarget("quoted", "quoted", deployment.zones[0], deployment.target_address, 20510,
                   respond, slots=64, with_head=True).keep_reporting(control)
    for name in ("entry-1", "entry-2"):
        replace(name, programs)
    check_returning_quota("a leader of the previous version, entry hosts of this one")
    for i in range(len(control)):
        replace(f"control-{i + 1}", programs)
    check_returning_quota("all hosts of this version")
    replace("entry-1", previous)
    check_returning_quota("a leader of this version, entry hosts of both")
    replace("entry-2", previous)
    check_returning_quota("a leader of this version, entry hosts of the previous one")
    accept_customers()
    for i in range(len(control)):
        replace(f"control-{i + 1}", previous)

    # A document that names shards twice, at control hosts of either version.
    replace("entry-1", programs)
    search = deployment.routes()[0]
    twice = deployment.groups + deployment.groups[:2]
    check(deployment.replace_routing(deployment.routes(search={**search, "shards": twice}),
                                     control[0]) == 200, "the document is accepted")
    wait_for("its version is read", lambda: (
        deployment.read_routing(control[2]) or {}).get("version") == deployment.version, 5)
    time.sleep(1)
    check_shards_count_once("control hosts of the previous version")
    for version, text in ((programs, "this version on stores of the previous one"),
                          (previous, "the previous version on stores of this one")):
        for i in range(len(control)):
            replace(f"control-{i + 1}", version)
            check_zone_orders(f"{text}, up to control-{i + 1}")
        replace("entry-1", programs)
        check_shards_count_once(text)
    change_routes(control[0])
    replace("entry-1", previous)

    # This version beside the previous one, first as a follower of it.
    traffic = Traffic(deployment)
    replace("control-3", programs)
    if leader() == [2]:
        # A host that restarts within milliseconds leads again.
        deployment.processes["control-3"].stop()
        wait_for("another host leads", lambda: leader() in ([0], [1]), 10)
        deployment.processes["control-3"].restart()
        wait_for("control-3 follows the log again", is_settled, 20)
    check(leader() in ([0], [1]), f"a host of the previous version leads: {leader()}")
    check(targets["first"].report(control[2]) == 200, "a report is accepted")
    wait_for("the target is known", lambda: targets["first"].report(control[0]) == 200, 5)
    check(leave(control[2], "first", targets["first"].incarnation) == 200,
          "a leave is acknowledged over a leader of the previous version")
    statuses = list(callers.map(lambda i: leave(control[2], f"many-{i}", 1),
                                range(COMPACTION_ENTRIES + 100)))
    check(set(statuses) == {200}, "all leaves are acknowledged")
    compacted = [status_of(address).get("first", 0) > 1 for address in control]
    check(all(compacted), f"every host has compacted the log: {compacted}")
    replace_all(programs)
    check(targets["second"].report(control[0]) == 200, "a report is accepted")
    check(leave(control[1], "second", targets["second"].incarnation) == 200, "it is acknowledged")
    traffic.stop()
    check_departed(["first", "second"])

    # The previous version on the stores of this one, and back.
    traffic = Traffic(deployment)
    replace_all(previous)
    replace_all(programs)
    traffic.stop()
    check_departed(["first", "second"])
    callers.shutdown()
    for target in targets.values():
        target.close()


def main():
    programs, previous = sys.argv[1:3]
    deployment = forward.Deployment(previous, network=64)
    try:
        deployment.start()
        case(deployment, programs, previous)
        print("passed")
    except Exception:
        print(f"logs in {deployment.folder}")
        raise
    finally:
        deployment.stop()


main()
