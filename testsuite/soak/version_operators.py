"""Changes of the versions in the soak: a route whose requests may run once at times, changed while an
entry host is stopped and orders wait for it; and a customer whose quota comes and goes."""

import random
import signal
import threading
import time
from http.client import HTTPConnection

from forward import Call
from quotas import WINDOW_S, Sender, most_in_window
from scripted_target import ScriptedTarget, header_value, response_with_record

IN_FORCE_S = 3.0  # An acknowledged version must be in force after this time.
RATE, BURST = 20, 20
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
USUAL_PER_S, HOT_PER_S = 18, 60
USUAL_S, HOT_S = 8.0, 5.0
LIMITED = {"name": "large", "keys": ["key-large"], "requests_per_s": RATE, "burst": BURST}
UNLIMITED = {"name": "large", "keys": ["key-large"]}
OTHER = {"name": "other", "keys": ["key-other"], "requests_per_s": 1000, "burst": 1000}


class Versions:
    """What the next versions have beside the routes of the other checks."""

    def __init__(self):
        self.lock = threading.Lock()
        self.kind = "repeatable"  # Of the route turns.test.
        self.customers = [LIMITED, OTHER]
        self.changes = 0
        self.acknowledged_changes = -1

    def change(self, **values):
        with self.lock:
            for name, value in values.items():
                setattr(self, name, value)
            self.changes += 1
            return self.changes

    def document(self, deployment, routes):
        """Returns a document with `routes` and those of this module, and the changes that it has."""
        extra = {"host": "turns.test", "path_prefix": "/", "timeout_ms": 4000,
                 "objective_ms": 200, "rank": 1, "group": "scripted", "max_attempts": 2}
        with self.lock:
            document = deployment.routing_document(
                [{**route, "public": True} for route in routes] +
                [{"name": "turns", "kind": self.kind, "public": True, **extra},
                 {"name": "quoted", "kind": "repeatable", **extra, "host": "quoted.test"}])
            document["customers"] = self.customers
            changes = self.changes
        document["groups"].append({"name": "scripted", "max_connections": 200})
        return document, changes

    def on_acknowledged(self, changes):
        with self.lock:
            self.acknowledged_changes = max(self.acknowledged_changes, changes)

    def wait_acknowledged(self, change, end):
        """Returns the time at which the change is known to be acknowledged, or None at `end`."""
        while time.time() < end:
            if self.acknowledged_changes >= change:
                return time.time()
            time.sleep(0.02)
        return None


class ScriptedTargets:
    """Slow targets of both routes; they note what they run."""

    def __init__(self, deployment):
        self.runs = {}  # Request id -> number of runs.
        self.customer_runs = []  # Times of the runs of the customer with a quota.
        self.lock = threading.Lock()

        def respond(request_id, head):
            with self.lock:
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
                if header_value(head, "snipe-customer") == "large":
                    self.customer_runs.append(time.monotonic())
            time.sleep(0.5 if b" /slow" in head else 0.005)
            return response_with_record(request_id, "scripted")

        for i, zone in enumerate(deployment.zones):
            ScriptedTarget(f"scripted-{i}", "scripted", zone, deployment.target_address, 21500 + i,
                           respond, slots=64, with_head=True).keep_reporting(deployment.controls)


class KindOperator:
    """Lets a route's requests run once only, while an entry host does not run."""

    def __init__(self, soak, versions, targets):
        self.soak, self.versions, self.targets = soak, versions, targets
        self.random = random.Random(f"kind operator {soak.seed}")

    def run(self):
        while time.time() < self.soak.end - 10:
            self.stop_and_change()

    def usual_calls(self, seconds):
        end = time.time() + seconds
        while time.time() < end:
            Call(self.random.choice(self.soak.deployment.entries), "turns.test", "/usual",
                 deadline_ms=1000).perform()

    def stop_and_change(self):
        deployment, soak = self.soak.deployment, self.soak
        repeatable = self.versions.change(kind="repeatable")
        if not self.versions.wait_acknowledged(repeatable, soak.end):
            return
        self.usual_calls(1.5)
        index = self.random.randrange(len(deployment.entries))
        entry, process = deployment.entries[index], deployment.processes[f"entry-{index + 1}"]
        if not process.alive() or getattr(process, "under_fault", False):
            return
        kept = []
        for address in [entry] * 3 + self.random.choices(deployment.entries, k=3):
            connection = HTTPConnection(address, 8000, timeout=8)
            try:
                connection.connect()
                kept.append((address, connection))
            except OSError:
                continue
        process.under_fault = object()
        soak.record_fault(f"suspend {process.name}")
        soak.count("suspensions")
        process.send(signal.SIGSTOP)
        with soak.lock:
            soak.pauses.setdefault(entry, []).append([time.time(), None])
        acknowledged = self.versions.wait_acknowledged(self.versions.change(kind="once"), soak.end)
        orders = []
        if acknowledged:
            time.sleep(IN_FORCE_S)
            orders = [Call(address, "turns.test", "/slow", "POST", b"x", deadline_ms=4000,
                           connection=connection) for address, connection in kept]
            threads = [threading.Thread(target=order.perform) for order in orders]
            for thread in threads:
                thread.start()
            time.sleep(self.random.uniform(0.0, 0.6))
        soak.resume(process, entry)
        if acknowledged:
            for thread in threads:
                thread.join()
        for order in orders:
            ran = self.targets.runs.get(order.id, 0)
            if ran > 1:
                soak.fail(f"order {order.id} to {order.entry} ran {ran} times by an older version")
            if order.status in (429, 503) and ran > 0:
                soak.fail(f"order {order.id} was refused with {order.status} and ran")
            soak.count(f"orders at a wake, status {order.status}")


class QuotaOperator:
    """Leaves a customer or its quota out of versions under load, and checks the bound after that."""

    def __init__(self, soak, versions, targets):
        self.soak, self.versions, self.targets = soak, versions, targets
        self.random = random.Random(f"quota operator {soak.seed}")
        self.sender = Sender(soak.deployment.entries)

    def run(self):
        round_s = USUAL_S + IN_FORCE_S + HOT_S + 4
        while time.time() < self.soak.end - round_s:
            self.leave_out_and_set()

    def leave_out_and_set(self):
        soak = self.soak
        self.sender.send_for(USUAL_S, "large", USUAL_PER_S)
        for _ in range(self.random.randint(1, 2)):
            absent = self.versions.change(
                customers=[OTHER] + self.random.choice([[], [UNLIMITED]]))
            if not self.versions.wait_acknowledged(absent, soak.end):
                return
            time.sleep(self.random.uniform(0.0, 0.8))
            back = self.versions.change(customers=[LIMITED, OTHER])
            if not self.versions.wait_acknowledged(back, soak.end):
                return
        soak.record_fault("the quota is back")
        # No request runs before the quota is in force: a window that begins then holds the bound.
        time.sleep(IN_FORCE_S)
        begin = time.monotonic()
        for entry in soak.deployment.entries:
            self.sender.send_for(HOT_S / len(soak.deployment.entries), "large", HOT_PER_S, entry)
        most = most_in_window(at for at in self.targets.customer_runs if at >= begin)
        soak.count("quotas checked")
        soak.record_fault(f"{most} requests of a customer ran in {WINDOW_S} s, {ALLOWED:.0f} may")
        if most > ALLOWED:
            soak.fail(f"{most} requests of a customer ran in {WINDOW_S} s, {ALLOWED:.0f} may")
