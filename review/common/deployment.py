"""A small deployment on loopback: the platform's programs as separate processes, with stand-ins
for the platform, the servers, the operator and the clients, which follow PROTOCOL.md and DEPLOY.md.

Only processes started here are signalled, by their own ids.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

CONTROL_PORT, FRONT_PORT, READY_PORT = 8224, 8226, 8227
INTERNAL_PORTS = (7740, 7755)
HEARTBEAT_MS = 1200

BOUNDS = {
    "SeedLagS": 3, "AddressReuseS": 2, "StabilityWindowMs": 4000, "AckTimeoutMs": 5000,
    "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
    "DowngradeSlackMs": 250, "MaxStretchMs": 12000, "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10, "RetryBudgetSlack": 58, "RecoveryS": 12}

LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
          "IdleTimeoutMs": 15000}


class Unable(Exception):
    """The case could not run; this says nothing about the rule."""


# Template language of DEPLOY.md, as far as the project's two templates use it.

def _look_up(fields, path):
    value = fields
    for step in path.split("."):
        if isinstance(value, list):
            value = value[int(step)] if step.isdigit() and int(step) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(step)
        else:
            value = None
    return value


def _text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def render(template, fields):
    def section(match):
        items = _look_up(fields, match.group(1)) or []
        parts = []
        for i, item in enumerate(items):
            part = match.group(2).replace("{{.}}", _text(item))
            parts.append(part.replace("{{,}}", "," if i + 1 < len(items) else ""))
        return "".join(parts)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: _text(_look_up(fields, m.group(1))), template)


class Machine:
    def __init__(self, name, role, ip, zone, folder):
        self.name, self.role, self.ip, self.zone, self.folder = name, role, ip, zone, folder
        self.process = None
        self.wanted = False  # The platform restarts a wanted process that has ended.
        self.first_start = True
        self.ends = []  # (time, return code) of ends that the platform did not cause.
        self.log = os.path.join(folder, name + ".log")
        self.lock = threading.Lock()


class Deployment:
    def __init__(self, record_path, zones=("zone-a", "zone-b", "zone-c"), controls=3, entries=2,
                 deploy=None):
        self.record_file = open(record_path, "w", encoding="utf-8")
        self.record_lock = threading.Lock()
        self.started_at = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = list(zones)
        self.network = self._free_network()
        self.machines = []
        self.servers = []
        self.version = 0
        self.closing = False
        for i in range(controls):
            self._add("control", i, i + 1)
        for i in range(entries):
            self._add("entry", i, i + 101)
        self.seeds = [f"{m.ip}:{CONTROL_PORT}" for m in self.controls[:3]]

    def _add(self, role, i, host):
        zone = self.zones[i % len(self.zones)]
        self.machines.append(
            Machine(f"{role}-{i + 1}", role, f"{self.network}.{host}", zone, self.folder))

    def _free_network(self):
        for third in range(40, 240):
            network = f"127.73.{third}"
            # Held until close(), so that two cases that run at once use different addresses.
            self.reservation = socket.socket()
            try:
                self.reservation.bind((f"{network}.254", CONTROL_PORT))
                for host in (1, 2, 3, 101, 102, 103):
                    for port in (CONTROL_PORT, FRONT_PORT, READY_PORT) + INTERNAL_PORTS:
                        with socket.socket() as probe:
                            probe.bind((f"{network}.{host}", port))
                return network
            except OSError:
                self.reservation.close()
                continue
        raise Unable("no free loopback addresses")

    @property
    def controls(self):
        return [m for m in self.machines if m.role == "control"]

    @property
    def entries(self):
        return [m for m in self.machines if m.role == "entry"]

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, kind, **fields):
        line = " ".join([f"{self.now():8.3f}", kind] + [f"{k}={v}" for k, v in fields.items()])
        with self.record_lock:
            self.record_file.write(line + "\n")
            self.record_file.flush()

    # The platform.

    def _settings(self, machine):
        control = machine.role == "control"
        fields = {
            "NodeName": machine.name, "Role": machine.role, "Ip": machine.ip,
            "MachineClass": "core" if control else "front", "Zone": machine.zone,
            "Region": "region", "Zones": {zone: "region" for zone in self.zones},
            "BindAddresses": {"Control": f"{machine.ip}:{CONTROL_PORT}"} if control else {
                "Front": f"{machine.ip}:{FRONT_PORT}", "Ready": f"{machine.ip}:{READY_PORT}"},
            "InternalPorts": list(INTERNAL_PORTS), "Seeds": self.seeds,
            "Bootstrap": machine.first_start, "HeartbeatMs": HEARTBEAT_MS,
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0}, "Bounds": BOUNDS,
            "DataDir": os.path.join(self.folder, machine.name + "-data")}
        if control:
            os.makedirs(fields["DataDir"], exist_ok=True)
        with open(os.path.join(ROOT, "platform", machine.role + ".jsonc"), encoding="utf-8") as f:
            text = render(f.read(), fields)
        path = os.path.join(self.folder, machine.name + ".conf")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        return path

    def launch(self, machine):
        program = os.path.join(ROOT, "target", "bin", f"platform-{machine.role}")
        if not os.path.exists(program):
            raise Unable(f"{program} is not built")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["SNIPEWORKS_BOOT"] = self._settings(machine)
        with machine.lock:
            with open(machine.log, "ab") as log:
                machine.process = subprocess.Popen(
                    [program], cwd=ROOT, env=environment, stdout=log, stderr=log)
            machine.wanted = True
            machine.first_start = False
        self.record("process_started", machine=machine.name, pid=machine.process.pid)

    def start(self):
        for machine in self.machines:
            self.launch(machine)
        threading.Thread(target=self._supervise, daemon=True).start()

    def _supervise(self):
        while not self.closing:
            for machine in self.machines:
                process = machine.process
                if machine.wanted and process is not None and process.poll() is not None:
                    machine.ends.append((self.now(), process.returncode))
                    self.record("process_ended", machine=machine.name, code=process.returncode)
                    time.sleep(0.3)
                    if not self.closing and machine.wanted:
                        self.launch(machine)
            time.sleep(0.05)

    def signal(self, machine, number):
        if number in (signal.SIGKILL, signal.SIGTERM):
            machine.wanted = False
        self.record("signal", machine=machine.name, signal=signal.Signals(number).name)
        machine.process.send_signal(number)

    # The operator.

    def replace(self, document, seconds=20, first=0):
        """Sends a configuration until it is acknowledged; returns when that was."""
        body = json.dumps(document).encode()
        end = time.monotonic() + seconds
        turn = first
        while time.monotonic() < end:
            control = self.controls[turn % len(self.controls)]
            turn += 1
            status, _, text = call(control.ip, CONTROL_PORT, "POST", "/config/replace", body,
                                   {"Content-Type": "application/json"}, timeout=1.5)
            self.record("config_sent", version=document["Version"], to=control.name,
                        status=status)
            if status == 200:
                return time.monotonic()
            if status in (400, 409, 412, 413, 422):
                raise Unable(f"configuration refused with {status}: {text[:200]}")
            time.sleep(0.2)
        return None

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        for machine in self.entries:
            while call(machine.ip, READY_PORT, "GET", "/ready", timeout=1)[0] != 200:
                if time.monotonic() > end:
                    raise Unable(f"{machine.name} did not become ready")
                time.sleep(0.1)
        self.record("ready")

    def close(self):
        self.closing = True
        for server in list(self.servers):
            server.close()
        for machine in self.machines:
            machine.wanted = False
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.reservation.close()
        self.record_file.close()


def call(ip, port, method, path, body=None, headers=None, timeout=2.0):
    """One call on a new connection; (0, {}, b"") if there was no response."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Server:
    """A server of one service. `respond(server, request)` may be given to change what it answers;
    it returns the bytes to send, or None for a sound answer."""

    def __init__(self, deployment, service, ip, port, zone, slots=4, work_s=0.01, respond=None):
        self.deployment, self.service, self.ip, self.port = deployment, service, ip, port
        self.zone, self.slots, self.work_s, self.respond = zone, slots, work_s, respond
        self.id = f"i-{service}-{port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.closed = False
        self.beating = True
        self.acknowledged = 0  # Heartbeats.
        self.ran = []  # (time, request id, method, target, body) of the requests that ran.
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(256)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()
        deployment.servers.append(self)

    def close(self):
        self.closed = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def heartbeat(self, control, timeout=1.0):
        self.sequence += 1
        body = json.dumps({
            "Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
            "Sequence": self.sequence, "born": self.born})
        return call(control.ip, CONTROL_PORT, "POST", f"/instances/{self.id}/heartbeat", body,
                    {"Content-Type": "application/json"}, timeout)[0]

    def _beat(self):
        turn = 0
        while not self.closed:
            for _ in self.deployment.controls if self.beating else []:
                controls = self.deployment.controls
                if self.heartbeat(controls[turn % len(controls)]) // 100 == 2:
                    self.acknowledged += 1
                    break
                turn += 1
            time.sleep(HEARTBEAT_MS / 1000)

    def _accept(self):
        while not self.closed:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with connection, connection.makefile("rb") as stream:
                while not self.closed:
                    request = read_request(stream)
                    if request is None:
                        return
                    answer = self._answer(request)
                    if answer is None:
                        return
                    connection.sendall(answer)
        except OSError:
            pass

    def stamp(self, request):
        return f"{self.id}.{request.id}"

    def body(self, request):
        return f"body of {request.id} by {self.id}".encode()

    def _answer(self, request):
        if request.path == "/health":
            return response(200, b"", [("Instance-Id", self.id)])
        if request.headers.get("expect-instance", self.id) != self.id:
            return response(421, b"", [("Request-Id", request.id)])
        if not request.id:
            return response(400, b"", [("Not-Executed", "1")])
        self.ran.append((self.deployment.now(), request.id, request.method, request.target,
                         request.body))
        self.deployment.record("ran", server=self.id, id=request.id, method=request.method,
                               target=request.target)
        if self.work_s:
            time.sleep(self.work_s)
        special = self.respond(self, request) if self.respond else None
        if special is not None:
            return special
        return self.sound_answer(request)

    def sound_answer(self, request):
        return response(200, self.body(request),
                        [("Request-Id", request.id), ("Server-Stamp", self.stamp(request))])


class LateBytesServer(Server):
    """Sends extra bytes after some of its answers, late: when the next request has come.

    `extra(server, request)` returns the bytes that follow the answer to `request`."""

    def __init__(self, *arguments, extra, share, **options):
        self.extra, self.share = extra, share
        self.from_s = self.until_s = 0.0
        super().__init__(*arguments, **options)

    def garble(self, after_s, for_s):
        self.from_s = time.monotonic() + after_s
        self.until_s = self.from_s + for_s

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
                    connection.sendall(self._answer(request))
                    if self.from_s <= time.monotonic() < self.until_s \
                            and choice.random() < self.share:
                        extra = self.extra(self, request)
        except OSError:
            pass


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = target.split("?")[0]
        self.id = headers.get("request-id", "")


def read_request(stream):
    line = stream.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0) or 0))
    return Request(method, target, headers, body)


def response(status, body, headers=()):
    lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def configuration(version, services, routes):
    return {"Version": version, "Routes": routes, "Limits": LIMITS,
            "Services": [{"Name": s, "HealthPath": "/health", "MaxConnections": 64,
                          "Protocol": "h1", "Tls": False} for s in services]}


def route(name, prefix, service, kind="idempotent", timeout_ms=2000, attempts=2, **more):
    result = {"Name": name, "Host": "shop.example", "PathPrefix": prefix, "Kind": kind,
              "TimeoutMs": timeout_ms, "TargetLatencyMs": 200, "Priority": 1,
              "MaxAttempts": attempts}
    result.update({"Service": service} if service else {})
    result.update(more)
    return result


def run_clients(deployment, clients, seconds, send, pause_s=0.0):
    """Clients that each send one request after the other, by `send(entry, request_id)`."""
    def client(number):
        entry = deployment.entries[number % len(deployment.entries)]
        end = time.monotonic() + seconds
        count = 0
        while time.monotonic() < end:
            count += 1
            send(entry, f"q{number:02d}{count:06d}")
            time.sleep(pause_s)

    threads = [threading.Thread(target=client, args=(i,)) for i in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def order(entry, request_id):
    """Sends a request of a non-idempotent route; returns (status, headers, body)."""
    return call(entry.ip, FRONT_PORT, "POST", f"/orders/{request_id}", b"one drum head",
                {"Host": "shop.example", "Request-Id": request_id, "Deadline-Ms": "2000"}, 3)


def run_case(script, judge, **options):
    """Exits with what `judge(deployment)` returns, or with 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(script))
    deployment = None
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends the processes, too.
    try:
        deployment = Deployment(os.path.join(folder, "record.txt"), **options)
        code = judge(deployment)
    except Exception as reason:  # pylint: disable=broad-except
        print(f"could not run: {reason!r}", file=sys.stderr)
    finally:
        if deployment is not None:
            deployment.close()
    sys.exit(code)
