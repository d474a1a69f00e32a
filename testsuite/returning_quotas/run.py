"""A customer whose quota is left out of a version and comes back, or that is removed and restored,
gets no more than its quota from all entry hosts together, and nothing is refused within it.

Guards against entry hosts and a leader that count a customer from different beginnings: hosts gave
back what they had reported before and each admitted a burst, and the leader took shares for held
that hosts had dropped."""

import signal
import threading
import time

import forward
from fleet import check, http, wait_for
from quotas import WINDOW_S, Sender, most_in_window
from scripted_target import ScriptedTarget, header_value, response_with_record

GROUP = "quoted"
RATE, BURST = 20, 20
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
USUAL_PER_S = 18
IN_FORCE_S = 4.0
LARGE = {"name": "large", "keys": ["key-large"], "requests_per_s": RATE, "burst": BURST}
UNLIMITED = {"name": "large", "keys": ["key-large"]}
OTHER = {"name": "other", "keys": ["key-other"], "requests_per_s": 1000, "burst": 1000}


def case(deployment):
    entries = deployment.entries
    processes = deployment.processes
    runs = {}

    def respond(request_id, head):
        if header_value(head, "snipe-customer") == "large":
            runs[request_id] = time.monotonic()
        return response_with_record(request_id, GROUP)

    for i, zone in enumerate(deployment.zones):
        ScriptedTarget(f"q{i}", GROUP, zone, deployment.target_address, 20500 + i, respond,
                       slots=64, with_head=True).keep_reporting(deployment.controls)

    def accept(*customers):
        document = deployment.routing_document(deployment.routes(quoted={
            "host": "quoted.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
            "objective_ms": 200, "rank": 1, "group": GROUP, "max_attempts": 2}))
        document["groups"].append({"name": GROUP, "max_connections": 200})
        document["customers"] = list(customers)
        check(http("POST", f"{deployment.controls[0]}:8000", "/v1/routing/replace", document,
                   timeout=5.0)[0] == 200, "the document is accepted")

    sender = Sender(entries)

    def check_usual(name, seconds, per_s=USUAL_PER_S):
        statuses = [result[1] for result in sender.send_for(seconds, "large", per_s)]
        check(set(statuses) == {200}, f"{name}: refused within the quota: {statuses}")

    def check_burst(name):
        """60 requests a second at one entry host after the other."""
        begin = time.monotonic()
        senders = [threading.Thread(target=lambda e=entry: sender.send_for(
            4.0 / len(entries), "large", 60, e)) for entry in entries]
        for thread in senders:
            thread.start()
            time.sleep(4.0 / len(entries))
        for thread in senders:
            thread.join()
        most = most_in_window(at for at in runs.values() if at >= begin)
        print(f"{name}: {most} of {ALLOWED:.0f} in {WINDOW_S} s")
        check(most <= ALLOWED, f"{name}: {most} requests ran in {WINDOW_S} s")
        time.sleep(WINDOW_S)  # Until the bucket is full again.

    accept(LARGE, OTHER)
    for entry in entries:
        for customer in ("large", "other"):
            wait_for(f"requests of {customer} are answered",
                     lambda e=entry, c=customer: sender.send(c, e)[1] == 200, 10)
    time.sleep(2.0)

    check_usual("before", 8)
    for _ in range(2):  # Left out and set again at once, twice.
        accept(UNLIMITED, OTHER)
        accept(LARGE, OTHER)
    time.sleep(IN_FORCE_S)
    check_burst("a quota that is set again")

    # Removed; one entry host sees only the last version, one starts anew.
    check_usual("between", 6)
    processes["entry-1"].send(signal.SIGSTOP)
    accept(OTHER)
    processes["entry-2"].kill()
    time.sleep(1.5)
    processes["entry-2"].restart()
    accept(LARGE, OTHER)
    processes["entry-1"].send(signal.SIGCONT)
    time.sleep(IN_FORCE_S + WINDOW_S)
    check_burst("a customer that is restored")

    # The shares are good for what the hosts serve without a leader.
    accept(UNLIMITED, OTHER)
    accept(LARGE, OTHER)
    check_usual("after", 3, 12)
    controls = [processes[f"control-{i + 1}"] for i in range(len(deployment.controls))]
    for control in controls:
        control.send(signal.SIGSTOP)
    time.sleep(2.0)  # The hosts have no contact any more, but their shares.
    results = [result[1] for result in sender.send_for(3, "large", 12)]
    print(f"without a leader: {results}")
    check(results.count(503) == 0, f"hosts without a share: {results}")
    for control in controls:
        control.send(signal.SIGCONT)


forward.run_case(case, network=84, entries=6, controls=3)
