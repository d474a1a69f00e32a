"""Customers get no more than their quotas from all entry hosts together, also while an entry host
ends and the leader of the control hosts is lost, and nothing is refused within them."""

import json
import os
import signal
import subprocess
import threading
import time

import forward
from fleet import check, http, wait_for
from quotas import WINDOW_S, Sender, leader_status, most_in_window
from scripted_target import ScriptedTarget, header_value, response_with_record

GROUP = "quoted"
RATE, BURST = 20, 20
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
CUSTOMERS = [
    {"name": "large", "keys": ["key-large"], "requests_per_s": RATE, "burst": BURST},
    {"name": "small", "keys": ["key-small"], "requests_per_s": 2, "burst": 2},
    {"name": "free", "keys": ["key-free"]}]


def replace(deployment, customers):
    document = deployment.routing_document(deployment.routes(quoted={
        "host": "quoted.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
        "objective_ms": 200, "rank": 1, "group": GROUP, "max_attempts": 2}))
    document["groups"].append({"name": GROUP, "max_connections": 60})
    document["customers"] = customers
    check(http("POST", f"{deployment.controls[0]}:8000", "/v1/routing/replace", document,
               timeout=5.0)[0] == 200, "the document is accepted")


def leader_process(deployment):
    for i, control in enumerate(deployment.controls):
        status = json.loads(http("GET", f"{control}:8000", "/v1/status", timeout=1.0)[2])
        if status["role"] == "leader":
            return deployment.processes[f"control-{i + 1}"]
    return None


def case(deployment):
    runs = {}

    def respond(request_id, head):
        runs[request_id] = (time.monotonic(), header_value(head, "snipe-customer"))
        return response_with_record(request_id, GROUP)

    targets = [ScriptedTarget(f"q{i}", GROUP, zone, deployment.target_address, 20500 + i, respond,
                              slots=16, with_head=True)
               for i, zone in enumerate(deployment.zones)]
    replace(deployment, CUSTOMERS)
    for target in targets:
        target.keep_reporting(deployment.controls)
    sender = Sender(deployment.entries)
    for entry in deployment.entries:
        for customer in ("free", "small", "large"):
            wait_for(f"requests of {customer} are answered",
                     lambda e=entry, c=customer: sender.send(c, e)[1] == 200, 10)
    time.sleep(3.0)

    def statuses(results):
        return {status: sum(1 for result in results if result[1] == status)
                for status in sorted({result[1] for result in results}, key=str)}

    # Within the quota, over all entry hosts and at one of them.
    check(statuses(sender.send_for(8, "large", RATE / 1.6)).keys() == {200}, "spread over hosts")
    check(statuses(sender.send_for(6, "large", RATE / 1.6, deployment.entries[1])).keys() == {200},
          "at one host")
    check(statuses(sender.send_for(6, "small", 1.25)).keys() == {200}, "a small customer")

    # Far beyond the quota: the customer gets its quota, and others are not touched.
    other = []
    beside = threading.Thread(target=lambda: other.extend(sender.send_for(7, "small", 1.25)))
    beside.start()
    results = sender.send_for(7, "large", 100)
    beside.join()
    counts = statuses(results)
    print(f"beyond the quota: {counts}")
    check(counts.keys() <= {200, 429}, f"{counts}")
    check(counts[200] >= 0.7 * RATE * 7, f"the customer gets its quota: {counts}")
    check(statuses(other).keys() == {200}, "the other customer")
    refused = [result for result in results if result[1] == 429]
    check(all("Retry-After" in headers and request_id not in runs
              for request_id, _, headers in refused), "what is refused has not run")
    quotas = leader_status(deployment)
    busiest = quotas["busiest"][0]
    check(busiest["customer"] == "large" and busiest["quota_per_s"] == RATE and
          len(busiest["hosts"]) == len(deployment.entries), f"{quotas}")

    # An entry host and the leader are lost in a burst.
    def lose():
        time.sleep(1.0)
        deployment.processes["entry-1"].send(signal.SIGKILL)
        time.sleep(0.5)
        leader_process(deployment).send(signal.SIGKILL)
    losing = threading.Thread(target=lose)
    losing.start()
    print(f"with losses: {statuses(sender.send_for(8, 'large', 100))}")
    losing.join()
    alive = deployment.entries[1:]
    wait_for("another leader counts", lambda: leader_status(deployment) is not None, 10)
    wait_for("requests within the quota are answered",
             lambda: sender.send("small", alive[0])[1] == 200, 15)

    # Without any leader: no request of a customer with a quota beyond the hosts' shares.
    controls = [deployment.processes[f"control-{i + 1}"]
                for i in range(len(deployment.controls))
                if deployment.processes[f"control-{i + 1}"].alive()]
    for control in controls:
        control.send(signal.SIGSTOP)
    time.sleep(13.0)
    silent = sender.send("small", alive[0])
    check(silent[1] == 503 and "Retry-After" in silent[2], f"without contact: {silent}")
    check(sender.send("free", alive[0])[1] == 200, "a customer without a quota")
    for control in controls:
        control.send(signal.SIGCONT)
    wait_for("contact is regained", lambda: sender.send("small", alive[0])[1] == 200, 15)

    most = most_in_window(at for at, customer in runs.values() if customer == "large")
    print(f"most runs in {WINDOW_S} s: {most} of {ALLOWED}")
    check(most <= ALLOWED, f"{most} requests ran in {WINDOW_S} s")

    time.sleep(1.0)
    logs = [deployment.path(f"{name}.log") for name in deployment.processes]
    explained = subprocess.run(
        [os.path.join(deployment.programs, "snipectl"), "explain", refused[-1][0]] + logs,
        capture_output=True, check=True).stdout.decode()
    check("quota-exceeded: the quota of large is used up" in explained and
          "closed=true customer=large" in explained, explained)


forward.run_case(case, network=68, entries=4, controls=3)
