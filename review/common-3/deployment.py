"""A small deployment on loopback: the programs of the deploy file and stand-ins around them.

The system's programs are started with the `run` commands and the settings templates of
deploy/system.toml, each host on its own address in 127.0.0.0/8. Servers, clients, the
operator and the balancer's readiness checks are stand-ins in this process. A case records
with `record` what was sent, answered and run.
"""

import asyncio
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
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The values that the platform tells: those of the sheet of a small deployment.
BOUNDS = {"SeedLagS": 3, "AddressReuseS": 2, "StabilityWindowMs": 4000, "AckTimeoutMs": 5000,
          "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200,
          "ConfigApplyMs": 3000, "DowngradeSlackMs": 250, "MaxStretchMs": 12000,
          "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 58,
          "RecoverS": 12}
HEARTBEAT_MS = 1200
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
          "IdleTimeoutMs": 15000}


class CannotRun(Exception):
    """The case could not run: neither a pass nor a failure."""


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells."""
    def lookup(scopes, name):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def expand(text, scopes, current=None, last=True):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        out, position = "", 0
        for match in section.finditer(text):
            out += plain(text[position:match.start()], scopes, current, last)
            position = match.end()
            kind, name, body = match.groups()
            value = lookup(scopes, name)
            filled = value is not None and value is not False
            if kind == "^":
                out += "" if filled else expand(body, scopes, current, last)
            elif isinstance(value, list):
                for i, item in enumerate(value):
                    out += expand(body, scopes, item, i + 1 == len(value))
            elif filled:
                out += expand(body, scopes, current, last)
        return out + plain(text[position:], scopes, current, last)

    def plain(text, scopes, current, last):
        def value(match):
            name = match.group(1)
            if name == ",":
                return "" if last else ","
            return text_of(current if name == "." else lookup(scopes, name))
        return re.sub(r"\{\{([\w.,]+)\}\}", value, text)

    return expand(template, [fields])


def read_roles():
    """The commands and templates of deploy/system.toml, by role."""
    import tomllib
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]


class Host:
    """A machine of the system with one process."""

    def __init__(self, deployment, name, role, ip, zone):
        self.deployment, self.name, self.role, self.ip, self.zone = (
            deployment, name, role, ip, zone)
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(self.folder)
        self.process = None
        self.starts = 0

    def settings(self):
        deployment = self.deployment
        return {"NodeName": self.name, "Zone": self.zone, "Ip": self.ip,
                "BindAddresses": {"Front": f"{self.ip}:{deployment.front_port}",
                                  "Ready": f"{self.ip}:{deployment.ready_port}",
                                  "Control": f"{self.ip}:{deployment.control_port}"},
                "InternalPorts": [deployment.internal_port, deployment.internal_port + 15],
                "Seeds": [f"{ip}:{deployment.control_port}" for ip in deployment.control_ips[:3]],
                "Bootstrap": self.starts == 0, "DataDir": os.path.join(self.folder, "data"),
                "HeartbeatMs": HEARTBEAT_MS, "FaultTolerance": {"Machines": 1, "Zones": 1},
                "Bounds": deployment.bounds}

    def start(self):
        role = self.deployment.roles[self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.folder, "settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.starts += 1
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "SNIPEWORKS_BOOT": path})

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Core and front machines in three zones, and the stand-ins."""

    def __init__(self, record, fronts=2, bounds=None):
        self.record = record
        self.roles = read_roles()
        for role in self.roles.values():
            if not os.path.exists(os.path.join(ROOT, role["run"].split()[0])):
                raise CannotRun("the build of the deploy file is missing: " + role["run"])
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.network = self.free_network()
        (self.front_port, self.ready_port, self.control_port,
         self.internal_port) = 8226, 8227, 8224, 7740
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.control_ips = [f"{self.network}.{i + 1}" for i in range(3)]
        self.core = [Host(self, f"core-{i + 1}", "control", ip, self.zones[i % 3])
                     for i, ip in enumerate(self.control_ips)]
        self.fronts = [Host(self, f"front-{i + 1}", "entry", f"{self.network}.{i + 101}",
                            self.zones[i % 3]) for i in range(fronts)]
        self.servers = []
        self.version = 0

    @staticmethod
    def free_network():
        for _ in range(50):
            network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", 8224))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def server_address(self):
        return f"{self.network}.200", 20000 + len(self.servers)

    async def start(self):
        for host in self.core + self.fronts:
            host.start()

    async def wait_until(self, what, condition, seconds=20.0):
        until = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > until:
                raise CannotRun("timed out: " + what)
            await asyncio.sleep(0.1)

    async def wait_ready(self):
        for host in self.fronts:
            async def is_ready(ip=host.ip):
                answer = await exchange(ip, self.ready_port, "GET", "/ready", timeout=1.0)
                return answer is not None and answer.status == 200
            await self.wait_until(host.name + " is ready", is_ready)

    async def stop(self):
        for server in self.servers:
            await server.end()
        for host in self.fronts + self.core:
            host.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    async def replace_config(self, routes, services, tenants=None, seconds=15.0):
        """Sends a new configuration to one core machine after the other until it is acked."""
        self.version += 1
        document = {"Version": self.version, "Routes": routes, "Services": services,
                    "Limits": LIMITS}
        if tenants is not None:
            document["Tenants"] = tenants
        until, turn = time.monotonic() + seconds, 0
        while time.monotonic() < until:
            ip = self.control_ips[turn % len(self.control_ips)]
            turn += 1
            answer = await exchange(ip, self.control_port, "POST", "/config/replace",
                                    body=json.dumps(document).encode(), timeout=1.5,
                                    headers={"Content-Type": "application/json"})
            if answer is not None and answer.status == 200:
                self.record(f"operator: version {self.version} acknowledged by {ip}")
                return
            if answer is not None and 400 <= answer.status < 500:
                raise CannotRun(f"the configuration was refused: {answer.status} {answer.body}")
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    """The first line and the headers of a message; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_answer(reader):
    line, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(line.split()[1]), headers, body)


def request_bytes(method, path, headers, body=b""):
    text = f"{method} {path} HTTP/1.1\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode() + body


async def exchange(ip, port, method, path, headers=None, body=b"", timeout=2.0):
    """One call on a connection of its own; None if there was no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(request_bytes(method, path, {"Host": f"{ip}:{port}", **(headers or {})},
                                       body))
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A sound server of one service: reports itself, and answers as PROTOCOL.md tells."""

    def __init__(self, deployment, service, zone="zone-a", work_s=0.02, slots=4, on_run=None):
        self.deployment, self.service, self.zone = deployment, service, zone
        self.work_s, self.slots, self.on_run = work_s, slots, on_run
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.ip, self.port = deployment.server_address()
        deployment.servers.append(self)
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.running = 0
        self.extra_headers = {}
        self.listener = None
        self.beats = None
        self.connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.beats = asyncio.create_task(self.beat_forever())

    async def end(self):
        if self.beats is not None:
            self.beats.cancel()
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.connections):
            writer.close()

    def report(self):
        self.sequence += 1
        return {"Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
                "Sequence": self.sequence, "born": self.born}

    async def call_control(self, path, seconds=5.0):
        body = json.dumps(self.report()).encode()
        ips, until = list(self.deployment.control_ips), time.monotonic() + seconds
        random.shuffle(ips)
        while time.monotonic() < until:
            for ip in ips:
                answer = await exchange(ip, self.deployment.control_port, "POST", path, body=body,
                                        timeout=1.0, headers={"Content-Type": "application/json"})
                if answer is not None and 200 <= answer.status < 300:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def beat_forever(self):
        while True:
            await self.call_control(f"/instances/{self.id}/heartbeat")
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def record_run(self, method, path, headers, body):
        shown = {name: headers[name] for name in
                 ("request-id", "tenant-id", "authorization", "deadline-ms") if name in headers}
        self.deployment.record(f"server {self.id} ({self.service}) runs {method} {path} {shown}")
        if self.on_run is not None:
            self.on_run(self, method, path, headers, body)

    async def work(self, path):
        await asyncio.sleep(self.work_s)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = {"Request-Id": headers.get("request-id", ""),
                          "Server-Load": f"{self.running},0,{self.slots}", **self.extra_headers}
                if path == "/health":
                    status, content = 200, b"ok"
                    answer["Instance-Id"] = self.id
                elif headers.get("expect-instance", self.id) != self.id:
                    status, content = 421, b""
                    answer["Not-Executed"] = "1"
                elif not headers.get("request-id"):
                    status, content = 400, b""
                    answer["Not-Executed"] = "1"
                elif self.running >= 4 * self.slots:
                    status, content = 503, b""
                    answer["Not-Executed"] = "1"
                else:
                    self.running += 1
                    self.record_run(method, path, headers, body)
                    try:
                        await self.work(path)
                    finally:
                        self.running -= 1
                    status, content = 200, f"{self.id} {path}".encode()
                    answer["Server-Stamp"] = f"{self.id[2:6]}.{headers['request-id'][:8]}.1"
                text = f"HTTP/1.1 {status} X\r\n" + "".join(
                    f"{name}: {value}\r\n" for name, value in answer.items() if value)
                writer.write((text + f"Content-Length: {len(content)}\r\n\r\n").encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Recorder:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


def request_id():
    return f"{random.randrange(16 ** 16):016x}"


def main(case, folder, record_name="record.txt", **options):
    """Runs `case(deployment, trouble)`, which returns the breaks found; exits as asked."""
    record = Recorder(os.path.join(folder, record_name))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"the case begins, with{'' if trouble else 'out'} the disruption")

    async def run():
        deployment = Deployment(record, **options)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      asyncio.current_task().cancel)
        try:
            await deployment.start()
            async with asyncio.timeout(110):
                return await case(deployment, trouble)
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(deployment.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await deployment.stop()

    try:
        breaks = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as reason:
        record(f"the case could not run: {reason!r}")
        print(f"could not run: {reason!r}")
        sys.exit(2)
    for text in breaks:
        record("BROKEN " + text)
    record("the rule was broken" if breaks else "the rule held")
    print(f"{len(breaks)} breaks" + "".join("\n" + text for text in breaks[:5]))
    sys.exit(1 if breaks else 0)
