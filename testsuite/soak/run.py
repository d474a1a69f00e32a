"""A randomized soak: real processes, faults from outside, promises checked meanwhile.

usage: run.py BIN [SEED [SECONDS [--controls N] [--entries N] [--groups N]]]

Faults: processes killed, paused and restarted, targets that drain, control hosts that
lose their disk or cannot write to it, and connections that a loopback proxy delays, resets, silences or cuts
one way. They come in series and overlap. Checked, from what callers, targets and the
operator see:
  - a success over all shards is right, record by record, and of one version's shards;
  - a request that may run once never runs twice, and never ran if it was refused;
  - an acknowledged version is read back, and no older one later than 3 s after it;
  - a target gets no new work later than 3 s after its drain was acknowledged;
  - no request outlives its deadline by more than a second;
  - once the faults have ended, every search is whole again within 15 s.
"""

import argparse
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import threading
import time
from http.client import HTTPConnection

import forward
from fleet import check, http, wait_for
from forward import Call

GRACE = 3.0  # Seconds in which a change or a drain must be in force.


class Proxy:
    """Stands between the entry hosts and one target."""

    def __init__(self, listen, forward_to):
        self.forward_to = forward_to
        self.mode = "pass"
        self.pairs = []
        self.listener = socket.create_server(listen, backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.forward_to, timeout=2)
            except OSError:
                if self.listener.fileno() < 0:
                    return
                continue
            self.pairs.append((near, far))
            threading.Thread(target=self.pump, args=(near, far, "out"), daemon=True).start()
            threading.Thread(target=self.pump, args=(far, near, "back"), daemon=True).start()

    def pump(self, source, sink, way):
        source.settimeout(None)
        while True:
            try:
                data = source.recv(65536)
                while self.mode == "silent" or self.mode == f"cut-{way}":
                    time.sleep(0.02)
                if self.mode == "delay":
                    time.sleep(random.uniform(0.005, 0.05))
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                for one in (source, sink):
                    one.close()
                return

    def reset(self):
        for pair in self.pairs:
            for one in pair:
                try:
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    one.close()
                except OSError:
                    pass
        self.pairs = []


class Soak:
    def __init__(self, deployment, seed, seconds):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.operators_random = random.Random(-seed)  # The faults don't hang on its pace.
        self.timeline = []  # What was brought about, for whoever reads a failure.
        self.pauses = {}  # Entry host's address -> [[from, until]], until None while it lasts.
        self.until = time.time() + seconds
        self.failures = []
        self.counts = {}
        self.lock = threading.Lock()
        self.acknowledged = [(0, time.time())]  # (version, when)
        self.orders = {}  # id -> status

    def count(self, what, amount=1):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + amount

    def fail(self, what):
        with self.lock:
            self.failures.append(f"{time.time():.3f} {what}")

    def note(self, what):
        with self.lock:
            self.timeline.append(f"{time.time():.3f} {what}")

    def paused(self, entry, since):
        """Seconds after `since` in which an entry host was stopped from outside."""
        now = time.time()
        with self.lock:
            return sum(max(0.0, (until or now) - max(begun, since))
                       for begun, until in self.pauses.get(entry, []))

    def callers(self, number):
        chance = random.Random(number)
        kept = {}
        i = 0
        while time.time() < self.until:
            i += 1
            entry = chance.choice(self.deployment.entries)
            if chance.random() < 0.2:
                call = Call(entry, "orders.test", f"/o{number}-{i}", "POST", b"x" * 100,
                            deadline_ms=1500).perform()
                with self.lock:
                    self.orders[call.id] = call.status
            else:
                # Connections stay open until their process is gone.
                call = Call(entry, "search.test", f"/q{number}-{i}", deadline_ms=1000,
                            connection=kept.get(entry))
                if call.connection is None:
                    kept[entry] = HTTPConnection(entry, 8000, timeout=3)
                    call.connection = kept[entry]
                call.perform()
                if call.status == 0 or call.headers.get("Connection") == "close":
                    kept.pop(entry).close()
                fault = call.response_fault(self.deployment.groups)
                if fault:
                    self.fail(f"search {call.id} at {entry}: {fault}")
            self.count(f"status {call.status}")
            # Nothing is asked of a host while it is stopped from outside.
            held = call.duration_s - self.paused(entry, time.time() - call.duration_s)
            if held > call.deadline_ms / 1000 + 1.0 and call.status:
                self.fail(f"{call.id} to {entry} was held for {held:.2f} s")
            time.sleep(chance.uniform(0, 0.01))

    def operator(self):
        while time.time() < self.until:
            status = self.deployment.replace_routing(
                self.deployment.routes(), self.operators_random.choice(self.deployment.controls))
            if status == 200:
                with self.lock:
                    self.acknowledged.append((self.deployment.version, time.time()))
                self.count("versions acknowledged")
            elif status in (400, 409, 422):
                self.fail(f"a valid version was refused with {status}")
            asked = time.time()
            held = self.deployment.read_routing(
                self.operators_random.choice(self.deployment.controls))
            if held:
                self.count("versions read")
                due = max(version for version, when in self.acknowledged if when < asked - GRACE) \
                    if self.acknowledged[0][1] < asked - GRACE else 0
                if held["version"] < due:
                    self.fail(f"read version {held['version']} after {due} was acknowledged")
            time.sleep(self.operators_random.uniform(0.1, 0.6))

    def run(self):
        workers = [threading.Thread(target=self.callers, args=(i,)) for i in range(6)]
        workers.append(threading.Thread(target=self.operator))
        for worker in workers:
            worker.start()
        pending = []
        while time.time() < self.until:
            pending.append(self.fault())
            time.sleep(self.random.uniform(0.2, 1.2))
            for undo in [one for one in pending if one[0] <= time.time()]:
                undo[1]()
                pending.remove(undo)
        for worker in workers:
            worker.join()
        for _, undo in pending:
            undo()
        # All faults have ended: everything serves again.
        wait_for("all searches are whole again", lambda: all(
            whole(Call(entry, "search.test", "/after").perform())
            for entry in self.deployment.entries), 15.0)
        newest = max(version for version, _ in self.acknowledged)
        wait_for("every control host reads the newest version", lambda: all(
            (self.deployment.read_routing(one) or {"version": -1})["version"] >= newest
            for one in self.deployment.controls), 15.0)
        self.check_orders()
        self.check_drains()

    def fault(self):
        """Brings one fault about; returns (when, how) it ends."""
        processes = self.deployment.processes
        controls = sorted(name for name in processes if name.startswith("control"))
        others = sorted(name for name in processes if not name.startswith("control"))
        kind = self.random.choice(["kill", "pause", "drain", "kill control", "pause control",
                                   "wipe control", "fill control", "silent", "cut-out", "cut-back", "delay",
                                   "reset", "term entry"])
        self.count(f"fault: {kind}")
        length = self.random.uniform(0.3, 2.5)
        if kind in ("kill control", "pause control", "wipe control", "fill control"):
            # One control host at a time: three of them bear the loss of one.
            name = self.random.choice(controls)
            if any(not processes[one].alive() or getattr(processes[one], "away", False)
                   for one in controls):
                return time.time(), lambda: None
            if kind == "fill control":
                return self.fill_disk(processes[name], time.time() + length)
            return self.take_away(name, kind, time.time() + length)
        if kind in ("silent", "cut-out", "cut-back", "delay", "reset"):
            proxy = self.random.choice(self.deployment.proxies)
            self.note(f"{kind} before {proxy.forward_to} for {length:.1f} s")
            if kind == "reset":
                proxy.reset()
                return time.time(), lambda: None
            proxy.mode = kind
            return time.time() + length, lambda: setattr(proxy, "mode", "pass")
        if kind == "term entry":
            name = self.random.choice([one for one in others if one.startswith("entry")])
        else:
            name = self.random.choice([one for one in others if one.startswith("targets")]
                                      if kind == "drain" else others)
        process = processes[name]
        if not process.alive() or getattr(process, "away", False):
            return time.time(), lambda: None
        if kind in ("drain", "term entry"):
            process.away = True
            process.send(signal.SIGTERM)
            return time.time() + 7.0, lambda: self.bring_back(process)
        return self.take_away(name, kind, time.time() + length)

    def take_away(self, name, kind, until):
        process = self.deployment.processes[name]
        process.away = True
        self.note(f"{kind} {name}")
        if kind.startswith("pause"):
            process.send(signal.SIGSTOP)
            if name.startswith("entry"):
                entry = self.deployment.entries[int(name.split("-")[1]) - 1]
                with self.lock:
                    self.pauses.setdefault(entry, []).append([time.time(), None])
                return until, lambda: self.resume(process, entry)
            return until, lambda: self.resume(process, None)
        else:
            process.kill()
            if kind.startswith("wipe"):
                shutil.rmtree(self.deployment.path(name), ignore_errors=True)
        # A host that was away counts again a while after it is back.
        return until, lambda: self.bring_back(process)

    def fill_disk(self, process, until):
        """No file of the process can grow, its log included."""
        process.away = True
        self.note(f"fill {process.name}")
        pid = process.handle.pid
        _, most = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, most))

        def empty():
            self.note(f"room for {process.name}")
            if not process.alive():
                self.fail(f"{process.name} ended on a full disk")
                process.restart()
            else:
                resource.prlimit(pid, resource.RLIMIT_FSIZE, (most, most))
            self.settle(process)
        return until, empty

    def resume(self, process, entry):
        """Lets it go on with what it held and believed when it was stopped."""
        self.note(f"resume {process.name}")
        process.send(signal.SIGCONT)
        if entry:
            with self.lock:
                self.pauses[entry][-1][1] = time.time()
        self.settle(process)

    def bring_back(self, process):
        self.note(f"back {process.name}")
        process.kill()
        process.restart()
        self.settle(process)

    def settle(self, process):
        threading.Timer(4.0, lambda: setattr(process, "away", False)).start()

    def check_orders(self):
        begun = self.deployment.runs_by_request()
        for order, status in self.orders.items():
            times = len(begun.get(order, []))
            if times > 1:
                self.fail(f"order {order} ran {times} times")
            if status in (429, 503) and times > 0:
                self.fail(f"order {order} was refused with {status} and ran")
        self.count("orders checked", len(self.orders))

    def check_drains(self):
        """Of targets that said that they drain: the last run against the acknowledgement."""
        for name in os.listdir(self.deployment.folder):
            if not name.endswith(".history"):
                continue
            drained = {}
            with open(self.deployment.path(name), encoding="utf-8") as file:
                for line in file:
                    try:
                        event = json.loads(line)
                    except ValueError:
                        continue
                    if event["event"] == "drain_acknowledged":
                        drained[event["target"]] = event["time"]
                        self.count("drains checked")
                    elif event["time"] > drained.get(event["target"], 1e18) + GRACE:
                        self.fail(f"{event['target']} got work after its drain")


def whole(call):
    return call.status == 200 and call.missing == 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("programs")
    parser.add_argument("seed", nargs="?", type=int, default=1)
    parser.add_argument("seconds", nargs="?", type=float, default=12.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--groups", type=int, default=4)
    options = parser.parse_args()
    deployment = forward.Deployment(
        options.programs, options.controls, options.entries, groups=options.groups,
        network=100 + options.seed % 100)
    try:
        deployment.start(Proxy)
        soak = Soak(deployment, options.seed, options.seconds)
        soak.run()
        print(json.dumps(soak.counts, sort_keys=True))
        check(not soak.failures, "\n".join(soak.timeline + soak.failures[:10]))
        print(f"seed {options.seed}: no promise broken")
    except Exception:
        print(f"seed {options.seed}: logs in {deployment.folder}")
        raise
    finally:
        deployment.stop()
    shutil.rmtree(deployment.folder, ignore_errors=True)


main()
