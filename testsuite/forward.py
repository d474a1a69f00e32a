"""Starts a forwarding deployment on loopback: control hosts, entry hosts and targets.

Each entry host and control host has its own address in 127.0.0.0/8, because peers use
the same port on all hosts. Processes are signalled only by their own process ids.
"""

import hashlib
import json
import os
import signal
import tempfile
import time
from http.client import BadStatusLine, HTTPConnection, HTTPException, RemoteDisconnected

import fleet as fleet_module
from fleet import Process, check, http, wait_for

RECORD_BYTES = 16
RECORDS_PER_SHARD = 8


class Deployment:
    def __init__(self, programs, controls=3, entries=2, zones=3, groups=4, network=31,
                 slots=3, work_us=4000, folder=None, crash_on=None, entry_settings=None,
                 control_settings=None):
        self.programs = programs
        self.folder = folder or tempfile.mkdtemp(prefix="snipeworks-forward-")
        self.network = network
        self.target_address = f"127.0.{network}.200"
        self.first_port = 20000
        self.zones = [f"zone-{i + 1}" for i in range(zones)]
        self.groups = [f"part-{i + 1}" for i in range(groups)]
        self.controls = [f"127.0.{network}.{i + 1}" for i in range(controls)]
        self.entries = [f"127.0.{network}.{i + 101}" for i in range(entries)]
        self.slots = slots
        self.work_us = work_us
        self.processes = {}
        self.version = 0
        self.entry_settings = entry_settings or {}
        self.control_settings = control_settings or {}
        self.crash_on = crash_on  # If set, each target runs in its own process.
        self.proxies = []  # One in front of each target, if start() is given a proxy.

    def path(self, name):
        return os.path.join(self.folder, name)

    def write_settings(self, name, address, zone, **overrides):
        document = {
            "host": name, "zone": zone, "http": f"{address}:8000", "peer": f"{address}:7000",
            "metrics": f"{address}:9000", "report_interval_ms": 500,
            "control_seeds": [f"{control}:8000" for control in self.controls[:3]]}
        document.update(overrides)
        with open(self.path(f"{name}.jsonc"), "w", encoding="utf-8") as file:
            json.dump(document, file)
        return self.path(f"{name}.jsonc")

    def launch(self, name, program, *arguments):
        command = [os.path.join(self.programs, program)] + list(arguments)
        self.processes[name] = Process(name, command, self.path(f"{name}.log"))

    def start(self, proxy=None):
        """`proxy(listen, forward_to)`, if given, creates the proxy in front of each target."""
        for i, address in enumerate(self.controls):
            name = f"control-{i + 1}"
            path = self.write_settings(
                name, address, self.zones[i % len(self.zones)], first_start=True,
                automatic_members=True, data_folder=self.path(name), **self.control_settings)
            self.launch(name, "snipe-control", "--settings", path)
        for i, address in enumerate(self.entries):
            name = f"entry-{i + 1}"
            path = self.write_settings(
                name, address, self.zones[i % len(self.zones)], ready=f"{address}:8001",
                shutdown_hold_ms=300, shutdown_limit_ms=6000, answer_margin_ms=10,
                # Probing is off, as in earlier versions: requests that crash targets must be
                # stopped without it too.
                policy={"canary": 2, "probe_silent": 0, "slow_start_ms": 0,
                        "hedge_percentile": 95, "extra_attempts_percent": 20,
                        "extra_attempts_slack": 60, "other_zone_percent": 200, "eject_ms": 500},
                **self.entry_settings)
            self.launch(name, "snipe-forward", "--settings", path)
        for i, zone in enumerate(self.zones):
            port = self.first_port + 20 * i
            if proxy:
                target_address = self.target_address
                self.proxies += [proxy((target_address, port + 10 + j), (target_address, port + j))
                                 for j in range(len(self.groups) + 1)]
            if self.crash_on:
                for j, group in enumerate(self.groups + ["orders"]):
                    self.start_targets(f"{group}-{zone}", zone, port + j, port + j, [group])
            else:
                self.start_targets(f"targets-{zone}", zone, port, port + (10 if proxy else 0))
        # Rewrites the settings without first_start, which holds for the very first start only.
        wait_for("the first routing version is accepted",
                 lambda: self.replace_routing(self.routes()) == 200, 20)
        for i, address in enumerate(self.controls):
            self.write_settings(f"control-{i + 1}", address, self.zones[i % len(self.zones)],
                                automatic_members=True, data_folder=self.path(f"control-{i + 1}"),
                                **self.control_settings)
        for address in self.entries:
            wait_for(f"{address} is ready", lambda a=address: http(
                "GET", f"{a}:8001", "/ready", timeout=1.0)[0] == 200, 20)
        wait_for("every shard answers", lambda: self.all_shards_answer(), 20)

    def start_targets(self, name, zone, first_port, reported_port, groups=None):
        self.launch(name, "snipe-backend",
                    "--groups", ",".join(groups or self.groups + ["orders"]),
                    "--crash-on", self.crash_on or "",
                    "--controls", ",".join(f"{control}:8000" for control in self.controls),
                    "--address", self.target_address, "--first-port", str(first_port),
                    "--reported-port", str(reported_port), "--zone", zone,
                    "--slots", str(self.slots), "--work-us", str(self.work_us),
                    "--history", self.path(f"{name}.history"))

    def routes(self, **changes):
        """The default routes with `changes` applied by name; None removes a route."""
        routes = {
            "search": {"host": "search.test", "path_prefix": "/", "kind": "repeatable",
                       "timeout_ms": 2000, "objective_ms": 200, "rank": 1,
                       "shards": self.groups, "max_attempts": 2, "top_records": 10,
                       "min_shard_share": 0.5},
            "orders": {"host": "orders.test", "path_prefix": "/", "kind": "once",
                       "timeout_ms": 2000, "objective_ms": 500, "rank": 1, "group": "orders",
                       "max_attempts": 3}}
        routes.update(changes)
        return [{"name": name, **route} for name, route in routes.items() if route]

    def routing_document(self, routes):
        self.version += 1
        return {"version": self.version, "routes": routes,
                "groups": [{"name": name, "max_connections": 30}
                           for name in self.groups + ["orders"]],
                "limits": {"max_body_bytes": 100000, "idle_timeout_ms": 15000}}

    def replace_routing(self, routes, control=None):
        """Posts a new routing version to one control host; returns the status."""
        address = control or self.controls[self.version % len(self.controls)]
        return http("POST", f"{address}:8000", "/v1/routing/replace", self.routing_document(routes),
                    {"Content-Type": "application/json"}, timeout=5.0)[0]

    def add_group(self, group, max_connections, **route):
        """Accepts a version with a group of targets and a route to it by the host GROUP.test."""
        routes = self.routes(**{group: {
            "host": f"{group}.test", "path_prefix": "/", "kind": "repeatable",
            "timeout_ms": 2000, "objective_ms": 200, "rank": 1, "group": group,
            "max_attempts": 2, **route}})
        document = self.routing_document(routes)
        document["groups"].append({"name": group, "max_connections": max_connections})
        check(http("POST", f"{self.controls[0]}:8000", "/v1/routing/replace", document,
                   timeout=5.0)[0] == 200, f"the route to {group} is accepted")

    def read_routing(self, control):
        status, _, body = http("GET", f"{control}:8000", "/v1/routing", timeout=2.0)
        return json.loads(body) if status == 200 else None

    def all_shards_answer(self):
        call = Call(self.entries[0], "search.test", "/ready-check").perform()
        return call.status == 200 and call.missing == 0

    def runs_by_request(self):
        """The run events in the histories of all targets, by request id."""
        runs = {}
        for name in os.listdir(self.folder):
            if not name.endswith(".history"):
                continue
            with open(self.path(name), encoding="utf-8") as file:
                for line in file:
                    try:
                        event = json.loads(line)
                    except ValueError:
                        continue  # A killed target can leave a truncated last line.
                    if event["event"] == "run":
                        runs.setdefault(event["request"], []).append(event)
        return runs

    def stop(self):
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.kill()


def records_of(group, method, target, digests):
    """The records with which every target of a group answers, computed as in the stand-in."""
    key = (group, method, target)
    if key not in digests:
        import xxhash128  # Where it is missing, only signatures are checked.
        digests[key] = b"".join(xxhash128.digest(f"{group}\n{method}\n{target}\n{i}")
                                for i in range(RECORDS_PER_SHARD))
    return digests[key]


class Call:
    """One request to an entry host and the response to it."""

    def __init__(self, entry, host, target, method="GET", body=None, deadline_ms=2000,
                 connection=None, headers=None):
        self.id = hashlib.md5(os.urandom(16)).hexdigest()[:16]
        self.entry, self.host, self.target, self.method = entry, host, target, method
        self.body, self.deadline_ms = body, deadline_ms
        self.connection = connection
        self.more_headers = headers or {}
        self.status, self.headers, self.response_body = 0, {}, b""
        self.malformed = False  # The bytes received are no response.
        self.missing, self.signatures = None, []
        self.duration_s = 0.0

    def perform(self):
        started = time.monotonic()
        connection = self.connection or HTTPConnection(
            self.entry, 8000, timeout=self.deadline_ms / 1000 + 1.5)
        try:
            connection.request(self.method, self.target, body=self.body, headers={
                "Host": self.host, "Snipe-Request-Id": self.id,
                "Snipe-Deadline-Ms": str(self.deadline_ms), **self.more_headers})
            response = connection.getresponse()
            self.response_body = response.read()
            self.status, self.headers = response.status, dict(response.getheaders())
        except (OSError, HTTPException) as reason:
            self.status = 0
            self.malformed = isinstance(reason, BadStatusLine) and not isinstance(
                reason, RemoteDisconnected)
            connection.close()
        self.duration_s = time.monotonic() - started
        if self.connection is None:
            connection.close()
        if "Snipe-Part-Signatures" in self.headers:
            self.signatures = self.headers["Snipe-Part-Signatures"].split(", ")
            self.missing = int(self.headers["Snipe-Parts-Missing"])
        return self

    def response_fault(self, groups):
        """Describes what is wrong with a successful response over all shards, or returns None."""
        if self.status != 200 or self.missing is None:
            return None
        shards = [signature.split(".")[0] for signature in self.signatures]
        if any(signature.split(".")[1] != self.id for signature in self.signatures):
            return "a part belongs to another request"
        if len(set(shards)) != len(shards) or not set(shards) <= set(groups):
            return "a part is duplicated or belongs to no shard"
        if len(shards) + self.missing != len(groups):
            return "the parts answered and missing do not add up to all shards"
        records = [self.response_body[i:i + RECORD_BYTES]
                   for i in range(0, len(self.response_body), RECORD_BYTES)]
        if records != sorted(records, reverse=True) or len(records) != min(
                10, RECORDS_PER_SHARD * len(shards)):
            return "the records are not the greatest ones in descending order"
        return None


def run_case(case, **options):
    import sys
    deployment = Deployment(sys.argv[1], **options)
    try:
        deployment.start()
        case(deployment)
    except Exception:
        for name in sorted(deployment.processes):
            with open(deployment.path(f"{name}.log"), "rb") as file:
                print(f"--- {name}\n" + file.read()[-1500:].decode(errors="replace"))
        raise
    finally:
        deployment.stop()
        print(f"logs in {deployment.folder}")
