"""A randomized soak test: injects faults into real processes and checks invariants meanwhile.

usage: run.py BIN [SEED [SECONDS [--controls N] [--entries N] [--groups N]]]

Faults: processes are killed, paused and restarted, targets drain, control hosts lose their
disk or cannot write to it, entry hosts lose all their targets (silently, with connections
reset, or for new connections alone), and a loopback proxy delays, resets, stalls or blocks connections
in one direction, and control hosts are cut off from each other. Faults follow each other and overlap; meanwhile another writer reports targets with
names that are no text, some targets send status lines that are none, some versions of the routes name
shards twice, and a zone is evacuated and readmitted, at times by orders that arrive late. A route
turns into one whose requests run once while an entry host is stopped, with orders waiting for it, and a
customer's quota is left out and set again under load. Once in a run all control and entry hosts are killed, at times with the loss of a disk, and reports of targets that have drained
arrive late. The invariants, as seen by callers, targets and the operator:
  - no process ends by itself, and a report that cannot be read is refused;
  - a caller gets a response or none, never other bytes;
  - a successful search over all shards returns the right records, from one version's shards;
  - a request that may run once never runs twice, and has not run if it was refused, also if it may run
    only once since a version that its entry host has missed;
  - a customer gets no more than its quota, from 3 s after the quota was set again;
  - an acknowledged version is read back, and no older one later than 3 s after it;
  - a target gets no new request later than 3 s after its drain was acknowledged, and none is tried;
  - a control host that is current has the newest acknowledged order about a zone;
  - targets of a zone run nothing from 5 s after the acknowledgement of its evacuation until it is
    readmitted;
  - no request exceeds its deadline by more than a second;
  - every search is complete again within 15 s after the last fault.
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
from raw_http import raw_call
from scripted_target import json_lines
from version_operators import KindOperator, QuotaOperator, ScriptedTargets, Versions
from zone_operator import ControlCuts, ZoneOperator

MALFORMED_STATUS_LINES = [b"HTTP/1.1 20 ", b"HTTP/1.1 0200 ", b"HTTP/1.1 999 ", b"HTTP/1.1 2"]
GRACE_S = 3.0  # A change or a drain must be in force after this time.


class Proxy:
    """A TCP proxy between the entry hosts and one target."""

    def __init__(self, listen, forward_to):
        self.forward_to = forward_to
        self.mode = "pass"
        self.garbled_share = 0.0  # Of the responses: their status line is none.
        self.pairs = []
        self.listener = socket.create_server(listen, backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
                upstream = socket.create_connection(self.forward_to, timeout=2)
            except OSError:
                if self.listener.fileno() < 0:
                    return
                continue
            self.pairs.append((client, upstream))
            threading.Thread(target=self.relay, args=(client, upstream, "out"),
                             daemon=True).start()
            threading.Thread(target=self.relay, args=(upstream, client, "back"),
                             daemon=True).start()

    def relay(self, source, sink, direction):
        source.settimeout(None)
        while True:
            try:
                data = source.recv(65536)
                while self.mode == "silent" or self.mode == f"cut-{direction}":
                    time.sleep(0.02)
                if self.mode == "delay":
                    time.sleep(random.uniform(0.005, 0.05))
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                if direction == "back" and random.random() < self.garbled_share:
                    data = data.replace(b"HTTP/1.1 200 ", random.choice(MALFORMED_STATUS_LINES))
                sink.sendall(data)
            except OSError:
                for connection in (source, sink):
                    connection.close()
                return

    def reset(self):
        for pair in self.pairs:
            for connection in pair:
                try:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    connection.close()
                except OSError:
                    pass
        self.pairs = []


class Soak:
    def __init__(self, deployment, seed, seconds):
        self.deployment = deployment
        self.seed = seed
        self.random = random.Random(seed)
        # Separate, so that the faults do not depend on the pace of the operator.
        self.operator_random = random.Random(-seed)
        self.repetition_random = random.Random(f"repetitions {seed}")
        self.timeline = []  # The injected faults, printed with a failure.
        self.pauses = {}  # Entry host -> [[start, end], ...]; end is None while the pause lasts.
        self.seconds = seconds
        self.end = time.time() + seconds
        self.failures = []
        self.counts = {}
        self.lock = threading.Lock()
        self.acknowledged = [(0, time.time())]  # (version, time)
        self.orders = {}  # Request id -> status.

        self.zone_operator = ZoneOperator(self)
        self.control_cuts = ControlCuts(self)
        self.versions = Versions()
        scripted = ScriptedTargets(deployment)
        self.kind_operator = KindOperator(self, self.versions, scripted)
        self.quota_operator = QuotaOperator(self, self.versions, scripted)

    def count(self, counter, amount=1):
        with self.lock:
            self.counts[counter] = self.counts.get(counter, 0) + amount

    def fail(self, message):
        with self.lock:
            self.failures.append(f"{time.time():.3f} {message}")

    def record_fault(self, message):
        with self.lock:
            self.timeline.append(f"{time.time():.3f} {message}")

    def paused_seconds(self, entry, since):
        """Seconds since `since` during which an entry host was paused."""
        return self.paused_between(entry, since, time.time())

    def paused_between(self, entry, begin, end):
        with self.lock:
            return sum(max(0.0, min(until or end, end) - max(start, begin))
                       for start, until in self.pauses.get(entry, []))

    def run_caller(self, number):
        rng = random.Random(number)
        connections = {}
        i = 0
        while time.time() < self.end:
            i += 1
            entry = rng.choice(self.deployment.entries)
            if rng.random() < 0.2:
                call = Call(entry, "orders.test", f"/o{number}-{i}", "POST", b"x" * 100,
                            deadline_ms=1500).perform()
                with self.lock:
                    self.orders[call.id] = call.status
            else:
                # A connection is reused until the entry host closes it.
                call = Call(entry, "search.test", f"/q{number}-{i}", deadline_ms=1000,
                            connection=connections.get(entry))
                if call.connection is None:
                    connections[entry] = HTTPConnection(entry, 8000, timeout=3)
                    call.connection = connections[entry]
                call.perform()
                if call.status == 0 or call.headers.get("Connection") == "close":
                    connections.pop(entry).close()
                fault = call.response_fault(self.deployment.groups)
                if fault:
                    self.fail(f"search {call.id} at {entry}: {fault}")
            self.count(f"status {call.status}")
            if call.malformed:
                self.fail(f"{call.id} at {entry}: the response is none")
            # The time during which the host was paused does not count.
            elapsed_s = call.duration_s - self.paused_seconds(entry, time.time() - call.duration_s)
            if elapsed_s > call.deadline_ms / 1000 + 1.0 and call.status:
                self.fail(f"{call.id} to {entry} took {elapsed_s:.2f} s")
            time.sleep(rng.uniform(0, 0.01))

    def routes(self):
        """The routes, with shards that are named twice at times."""
        routes = self.deployment.routes()
        if self.repetition_random.random() < 0.3:
            shards = routes[0]["shards"]
            routes[0]["shards"] = shards + self.repetition_random.choices(shards, k=3)
            self.count("versions with repeated shards")
        return routes

    def run_operator(self):
        while time.time() < self.end:
            document, changes = self.versions.document(self.deployment, self.routes())
            status = http("POST", f"{self.operator_random.choice(self.deployment.controls)}:8000",
                          "/v1/routing/replace", document, timeout=5.0)[0]
            if status == 200:
                self.versions.on_acknowledged(changes)
                with self.lock:
                    self.acknowledged.append((self.deployment.version, time.time()))
                self.count("versions acknowledged")
            elif status in (400, 409, 422):
                self.fail(f"a valid version was refused with {status}")
            read_start = time.time()
            routing = self.deployment.read_routing(
                self.operator_random.choice(self.deployment.controls))
            if routing:
                self.count("versions read")
                oldest_allowed = max(version for version, acknowledged_at in self.acknowledged
                                     if acknowledged_at < read_start - GRACE_S) \
                    if self.acknowledged[0][1] < read_start - GRACE_S else 0
                if routing["version"] < oldest_allowed:
                    self.fail(f"read version {routing['version']} after {oldest_allowed} "
                              "was acknowledged")
            time.sleep(self.operator_random.uniform(0.1, 0.6))

    def run_other_writer(self):
        """Reports targets whose names are not text."""
        rng = random.Random(f"other writer {self.seed}")
        report = json.dumps({"group": "part-1", "address": "127.0.0.1:9", "zone": "zone-1",
                             "version": "1", "slots": 1, "state": "serving", "cold_ms": 0,
                             "sequence": 1, "incarnation": 1}).encode()
        while time.time() < self.end:
            name = b"\xff" + bytes(rng.choices(range(0x80, 0x100), k=rng.randint(1, 12)))
            status = raw_call(f"{rng.choice(self.deployment.controls)}:8000", b"POST",
                              b"/v1/targets/" + name + rng.choice([b"/report", b"/leave"]), report)
            self.count("unreadable reports refused", 1 if status else 0)
            if status and status // 100 != 4:
                self.fail(f"a report of {name} got {status}")
            for process in self.deployment.processes.values():
                if not getattr(process, "under_fault", False) and not process.alive():
                    self.fail(f"{process.name} has ended by itself")
            time.sleep(rng.uniform(0.1, 0.5))

    def run_garbler(self):
        """Lets one target after the other spoil some of its responses for a while."""
        rng = random.Random(f"garbler {self.seed}")
        while time.time() < self.end:
            proxy = rng.choice(self.deployment.proxies)
            proxy.garbled_share = rng.uniform(0.02, 0.2)
            self.count("targets with garbled responses")
            time.sleep(rng.uniform(0.3, 1.5))
            proxy.garbled_share = 0.0

    def run(self):
        workers = [threading.Thread(target=self.run_caller, args=(i,)) for i in range(6)]
        workers += [threading.Thread(target=self.run_operator),
                    threading.Thread(target=self.run_other_writer),
                    threading.Thread(target=self.run_garbler),
                    threading.Thread(target=self.zone_operator.run),
                    threading.Thread(target=self.kind_operator.run),
                    threading.Thread(target=self.quota_operator.run),
                    threading.Thread(target=self.control_cuts.run)]
        for worker in workers:
            worker.start()
        pending = []
        loss_random = random.Random(f"loss {self.seed}")
        loss_at = self.end - self.seconds * loss_random.uniform(0.3, 0.7)
        while time.time() < self.end:
            if time.time() >= loss_at:
                self.lose_all_memory(loss_random)
                loss_at = float("inf")
            pending.append(self.inject_fault())
            time.sleep(self.random.uniform(0.2, 1.2))
            for fault in [fault for fault in pending if fault[0] <= time.time()]:
                fault[1]()
                pending.remove(fault)
        for worker in workers:
            worker.join()
        for _, undo in pending:
            undo()
        self.control_cuts.end(time.time() + 15.0)
        check(not self.control_cuts.cuts, "all cuts end once no control host is stopped")
        self.zone_operator.readmit()
        for entry in self.deployment.entries:
            self.set_cut(entry, "none")
        # All faults have ended: all hosts must serve again.
        wait_for("all searches are complete again", lambda: all(
            is_complete(Call(entry, "search.test", "/after").perform())
            for entry in self.deployment.entries), 15.0)
        newest = max(version for version, _ in self.acknowledged)
        wait_for("every control host returns the newest version", lambda: all(
            (self.deployment.read_routing(control) or {"version": -1})["version"] >= newest
            for control in self.deployment.controls), 15.0)
        self.check_orders()
        self.check_drains()
        self.zone_operator.check_targets()

    def control_processes(self):
        return [self.deployment.processes[f"control-{i + 1}"]
                for i in range(len(self.deployment.controls))]

    def is_under_fault(self, control):
        process = self.control_processes()[self.deployment.controls.index(control)]
        return not process.alive() or getattr(process, "under_fault", False)

    def control_lacks_disk(self):
        return any(getattr(process, "under_fault", False) and process.fault != "pause control"
                   for process in self.control_processes())

    def inject_fault(self):
        """Injects a random fault; returns the time at which it ends and a function that ends it."""
        processes = self.deployment.processes
        controls = sorted(name for name in processes if name.startswith("control"))
        others = sorted(name for name in processes if not name.startswith("control"))
        kind = self.random.choice(["kill", "pause", "drain", "kill control", "pause control",
                                   "wipe control", "fill control", "silent", "cut-out",
                                   "cut-back", "delay", "reset", "term entry", "strand entry"])
        self.count(f"fault: {kind}")
        duration_s = self.random.uniform(0.3, 2.5)
        if kind in ("kill control", "pause control", "wipe control", "fill control"):
            # Only one control host at a time: three control hosts tolerate the loss of one.
            name = self.random.choice(controls)
            if any(not processes[control].alive() or
                   getattr(processes[control], "under_fault", False) for control in controls):
                return time.time(), lambda: None
            if kind != "pause control" and self.control_cuts.cuts:
                return time.time(), lambda: None
            processes[name].fault = kind
            if kind == "fill control":
                return self.fill_disk(processes[name], time.time() + duration_s)
            return self.kill_or_pause(name, kind, time.time() + duration_s)
        if kind == "strand entry":
            return self.strand_entry(time.time() + duration_s)
        if kind in ("silent", "cut-out", "cut-back", "delay", "reset"):
            proxy = self.random.choice(self.deployment.proxies)
            self.record_fault(f"{kind} before {proxy.forward_to} for {duration_s:.1f} s")
            if kind == "reset":
                proxy.reset()
                return time.time(), lambda: None
            proxy.mode = kind
            return time.time() + duration_s, lambda: setattr(proxy, "mode", "pass")
        if kind == "term entry":
            name = self.random.choice([other for other in others if other.startswith("entry")])
        else:
            name = self.random.choice([other for other in others if other.startswith("targets")]
                                      if kind == "drain" else others)
        process = processes[name]
        if not process.alive() or getattr(process, "under_fault", False):
            return time.time(), lambda: None
        if kind in ("drain", "term entry"):
            process.under_fault = True
            process.send(signal.SIGTERM)
            return time.time() + 7.0, lambda: self.restart_process(process)
        return self.kill_or_pause(name, kind, time.time() + duration_s)

    def strand_entry(self, end):
        """Cuts an entry host off from all targets; the cut ends with the process at the latest."""
        entry = self.random.choice(self.deployment.entries)
        cut = self.random.choice(["silent", "reset", "refuse-new"])
        self.record_fault(f"{entry} loses its targets: {cut}")
        # A host that is paused or down has no answer for this.
        self.set_cut(entry, cut)

        def end_cut():
            self.record_fault(f"{entry} has its targets again")
            self.set_cut(entry, "none")
        return end, end_cut

    def set_cut(self, entry, cut):
        http("POST", f"{entry}:9000", "/v1/faults", {"targets": cut}, timeout=0.5)

    def kill_or_pause(self, name, kind, end):
        process = self.deployment.processes[name]
        process.under_fault = True
        self.record_fault(f"{kind} {name}")
        if kind.startswith("pause"):
            process.send(signal.SIGSTOP)
            if name.startswith("entry"):
                entry = self.deployment.entries[int(name.split("-")[1]) - 1]
                with self.lock:
                    self.pauses.setdefault(entry, []).append([time.time(), None])
                return end, lambda: self.resume(process, entry)
            return end, lambda: self.resume(process, None)
        else:
            process.kill()
            if kind.startswith("wipe"):
                shutil.rmtree(self.deployment.path(name), ignore_errors=True)
        # The process counts as recovered some time after its restart.
        return end, lambda: self.restart_process(process)

    def lose_all_memory(self, rng):
        """Kills all control and entry hosts; reports from before a drain arrive after that."""
        processes = [process for name, process in sorted(self.deployment.processes.items())
                     if name.startswith(("control", "entry"))]
        calm = not self.control_cuts.cuts and not any(
            getattr(process, "under_fault", False) for process in processes)
        for process in processes:
            process.fault = "kill"
            process.under_fault = True
            process.kill()
        self.record_fault("all control and entry hosts are killed")
        self.count("losses of all memory")
        if calm and rng.random() < 0.5:
            wiped = rng.choice(processes[:len(self.deployment.controls)])
            shutil.rmtree(self.deployment.path(wiped.name), ignore_errors=True)
            self.record_fault(f"{wiped.name} has lost its disk")
        time.sleep(rng.uniform(0.2, 0.8))
        for process in processes:
            process.restart()
            self.mark_recovered_later(process)
        threading.Thread(target=self.report_late, daemon=True).start()

    def report_late(self):
        """Sends reports of drained targets from before they drained, for as long as a lease."""
        acknowledged = self.acknowledged_drains()
        drained = {}
        for event in self.log_events("control"):
            if event["event"] == "target_changed" and event["target"] in acknowledged:
                drained[event["target"]] = event
        for sequence in range(1, 7):
            time.sleep(0.5)
            for name, event in drained.items():
                port = int(event["address"].split(":")[1])
                zone = self.deployment.zones[(port - self.deployment.first_port) // 20]
                for control in self.deployment.controls:
                    status = http("POST", f"{control}:8000", f"/v1/targets/{name}/report", {
                        "group": event["group"], "address": event["address"], "zone": zone,
                        "version": "1", "slots": 1, "state": "serving", "cold_ms": 0,
                        "sequence": sequence,
                        "incarnation": event["incarnation"]}, timeout=0.3)[0]
                    self.count("late reports", 1 if status == 200 else 0)

    def fill_disk(self, process, end):
        """Simulates a full disk: no file of the process can grow, including its log."""
        process.under_fault = True
        self.record_fault(f"fill the disk of {process.name}")
        pid = process.handle.pid
        _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, hard_limit))

        def lift_limit():
            self.record_fault(f"disk space again for {process.name}")
            if not process.alive():
                self.fail(f"{process.name} ended on a full disk")
                process.restart()
            else:
                resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard_limit, hard_limit))
            self.mark_recovered_later(process)
        return end, lift_limit

    def resume(self, process, entry):
        """Resumes the process with the state and connections that it had when it was paused."""
        self.record_fault(f"resume {process.name}")
        process.send(signal.SIGCONT)
        if entry:
            with self.lock:
                self.pauses[entry][-1][1] = time.time()
        self.mark_recovered_later(process)

    def restart_process(self, process):
        self.record_fault(f"restart {process.name}")
        process.kill()
        process.restart()
        self.mark_recovered_later(process)

    def mark_recovered_later(self, process):
        """The process counts as recovered after a while, unless another fault has begun."""
        fault = process.under_fault = object()

        def mark_recovered():
            if process.under_fault is fault:
                process.under_fault = False
        threading.Timer(4.0, mark_recovered).start()

    def check_orders(self):
        runs = self.deployment.runs_by_request()
        for order, status in self.orders.items():
            run_count = len(runs.get(order, []))
            if run_count > 1:
                self.fail(f"order {order} ran {run_count} times")
            if status in (429, 503) and run_count > 0:
                self.fail(f"order {order} was refused with {status} and ran")
        self.count("orders checked", len(self.orders))

    def log_events(self, prefix, suffix=".log"):
        """The JSON lines of the logs of some processes, or of the histories of targets."""
        for name in sorted(os.listdir(self.deployment.folder)):
            if name.startswith(prefix) and name.endswith(suffix):
                yield from json_lines(self.deployment.path(name))

    def acknowledged_drains(self):
        """The time at which each drain was acknowledged, by target."""
        return {event["target"]: event["time"] for event in self.log_events("", ".history")
                if event["event"] == "drain_acknowledged"}

    def check_drains(self):
        """Checks that no target ran a request later than GRACE_S after its acknowledged drain, and
        that no host tried to send one."""
        drained = self.acknowledged_drains()
        self.count("drains checked", len(drained))
        for event in self.log_events("", ".history"):
            if event["time"] > drained.get(event["target"], 1e18) + GRACE_S:
                self.fail(f"{event['target']} got a request after its drain")
        for event in self.log_events("entry"):
            if event["event"] != "attempt":
                continue
            drained_at = drained.get(event["target"], 1e18)
            passed_s = event["time"] - drained_at
            if "outcome" in event:
                # The end of an attempt that may have been sent before the host was stopped.
                entry = self.deployment.entries[int(event["host"].split("-")[1]) - 1]
                passed_s -= self.paused_between(entry, drained_at, event["time"])
            if passed_s > GRACE_S:
                self.fail(f"{event['host']} tried {event['target']} after its drain")


def is_complete(call):
    return call.status == 200 and call.missing == 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("programs")
    parser.add_argument("seed", nargs="?", type=int, default=1)
    parser.add_argument("seconds", nargs="?", type=float, default=25.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--groups", type=int, default=4)
    options = parser.parse_args()
    deployment = forward.Deployment(
        options.programs, options.controls, options.entries, groups=options.groups,
        network=100 + options.seed % 100, entry_settings={"allow_faults": True},
        control_settings={"allow_faults": True})
    try:
        deployment.start(Proxy)
        soak = Soak(deployment, options.seed, options.seconds)
        soak.run()
        print(json.dumps(soak.counts, sort_keys=True))
        check(not soak.failures, "\n".join(soak.timeline + soak.failures[:10]))
        print(f"seed {options.seed}: no invariant violated")
    except Exception:
        print(f"seed {options.seed}: logs in {deployment.folder}")
        raise
    finally:
        deployment.stop()
    shutil.rmtree(deployment.folder, ignore_errors=True)


main()
