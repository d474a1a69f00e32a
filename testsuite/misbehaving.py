"""Clients that keep to no rules, and the checks that every program must pass among them.

The bounds follow from the machines: an entry host has 160 MB and 4,100 descriptors, a control host
256 MB and 4,096. The cases halve the limits of clients (bodies, heads, memory for all clients), so a
program must do with half the memory: 80 MB and 128 MB. Where descriptors are limited, an eighth of
them must stay free for files and for connections to targets and other hosts.
"""

import os
import resource
import socket
import sys
import threading
import time

from fleet import check, http, wait_for
from forward import Call

ENTRY_MB, CONTROL_MB = 160 // 2, 256 // 2
BODY_BYTES, HEAD_BYTES = 262144 // 2, 16384 // 2
CROWD = 700  # 700 bodies of 128 KB exceed 80 MB.
SENDING_THREADS = 16
# Half of the default memory for all clients.
ENTRY_SETTINGS = {"client_memory_kb": 48 * 1024 // 2, "client_stall_ms": 2000}
CONTROL_SETTINGS = {"client_memory_kb": 64 * 1024 // 2, "client_stall_ms": 2000}
if sys.argv[2:] == ["earlier"]:  # Programs of 6ad1366, which refuse settings that they do not know.
    ENTRY_SETTINGS, CONTROL_SETTINGS = {}, {}
LIMITS = {"max_body_bytes": BODY_BYTES, "max_header_bytes": HEAD_BYTES, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


def start_line(place, length=None):
    """The head of a request to `place` (method, path, host name), without the empty line."""
    method, path, name = place
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return f"{method} {path} HTTP/1.1\r\nHost: {name}\r\n{framing}\r\n".encode()


def chunks(size, total):
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * (total // size)


def bodies(place, limit):
    """Pieces to send for each kind of body that stops just short of its end, or never ends."""
    length, in_chunks = start_line(place, limit) + b"\r\n", start_line(place) + b"\r\n"
    return {
        "one piece": [length + b"x" * (limit - 1)],
        "small pieces": [length] + [b"x" * 1024] * (limit // 1024 - 1),
        "chunks": [in_chunks + chunks(4096, limit - 1)],
        "one-byte chunks": [in_chunks + chunks(1, limit - 1)],
        "far over the limit": [start_line(place, 100 * limit) + b"\r\n"] + [b"x" * limit] * 10,
        "chunks far over the limit": [in_chunks] + [chunks(4096, limit)] * 10,
    }


def many_fields(place, limit=HEAD_BYTES):
    """A complete head of very many short fields; the body of one byte is missing."""
    start = start_line(place, 1)
    return [start + b"a:\r\n" * ((limit - len(start) - 2) // 4) + b"\r\n"]


class Crowd:
    """Connections that send their pieces and stay open. Those that are closed are not opened again."""

    def __init__(self, address, port):
        self.target = (address, port)
        self.connections = []
        self.lock = threading.Lock()

    def _send(self, count, pieces, pause_s, timeout_s):
        opened = []
        for _ in range(count):
            try:
                connection = socket.create_connection(self.target, timeout=timeout_s)
            except OSError:
                continue
            opened.append(connection)
            if pause_s == 0:
                self._send_pieces([connection], pieces)
        if pause_s > 0:  # In turn, as each of them is slow.
            for piece in pieces:
                self._send_pieces(opened, [piece])
                time.sleep(pause_s)
        with self.lock:
            self.connections += opened

    @staticmethod
    def _send_pieces(connections, pieces):
        for connection in connections:
            try:
                for piece in pieces:
                    connection.sendall(piece)
            except OSError:
                pass  # Refused, closed or not read: each is allowed.

    def send(self, count, pieces, pause_s=0.0, timeout_s=2.0):
        """`count` clients send `pieces`, with a pause after each piece. One gives up if a piece
        takes longer than `timeout_s`."""
        threads = [threading.Thread(target=self._send, args=(
            len(range(i, count, SENDING_THREADS)), pieces, pause_s, timeout_s))
                   for i in range(SENDING_THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self

    def read_slowly(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for connection in self.connections:
                connection.setblocking(False)
                try:
                    connection.recv(1)
                except OSError:
                    pass
            time.sleep(0.1)

    def close(self):
        for connection in self.connections:
            connection.close()


def peak_mb(process):
    with open(f"/proc/{process.handle.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


def open_descriptors(process):
    return len(os.listdir(f"/proc/{process.handle.pid}/fd"))


class Checks:
    """Runs the forms of misbehaviour one by one, each on a program that has just started."""

    def __init__(self):
        self.failures = []

    def run(self, form, process, wait_until_ready, misbehave, ordinary, bound_mb,
            descriptors=None):
        """`misbehave()` returns the crowds, which stay open until `ordinary()` is answered. The
        program may open `descriptors`, of which an eighth must stay free."""
        process.kill()
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors or before[0], before[1]))
        process.restart()
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
        max_open = (descriptors or before[0]) * 7 // 8
        wait_until_ready()
        crowds = misbehave()
        try:
            served = True
            try:
                wait_for("an ordinary request is answered", ordinary, 20)
            except Exception:
                served = False
            alive = process.alive()
            peak = peak_mb(process) if alive else 0
            opened = open_descriptors(process) if alive else 0
        finally:
            for crowd in crowds:
                crowd.close()
        good = alive and served and peak < bound_mb and opened < max_open
        print(f"{'passed' if good else 'FAILED'}: {form}: peak {peak:.0f} of {bound_mb} MB, "
              f"{opened} of {max_open} descriptors, alive {alive}, served {served}", flush=True)
        if not good:
            self.failures.append(form)

    def finish(self):
        check(not self.failures, f"failed: {self.failures}")


ROUTE = ("POST", "/x", "search.test")
NO_ROUTE = ("POST", "/x", "none.test")
READY = ("POST", "/ready", "h")
METRICS = ("POST", "/metrics", "h")
RELAY = ("POST", "/relay", "h")
REPORT = ("POST", "/v1/targets/x/report", "h")


class ForwardChecks(Checks):
    """Of a deployment of snipe-forward and snipe-control, with the limits halved."""

    def __init__(self, deployment):
        super().__init__()
        self.deployment = deployment
        self.entry, self.control = deployment.entries[0], deployment.controls[0]
        document = deployment.routing_document(deployment.routes())
        document["limits"] = LIMITS
        check(http("POST", f"{self.control}:8000", "/v1/routing/replace", document,
                   timeout=5.0)[0] == 200, "the limits are accepted")

    def served(self):
        """An ordinary search, and an ordinary readiness check."""
        return (Call(self.entry, "search.test", "/q").perform().status == 200 and http(
            "GET", f"{self.entry}:8001", "/ready", timeout=2)[0] == 200)

    def control_served(self):
        return http("GET", f"{self.control}:8000", "/v1/routing", timeout=2)[0] == 200

    def entry_host(self, form, misbehave, descriptors=None):
        self.run(form, self.deployment.processes["entry-1"],
                 lambda: wait_for("the entry host serves", self.served, 20),
                 misbehave, self.served, ENTRY_MB, descriptors)

    def control_host(self, form, misbehave, descriptors=None):
        self.run(form, self.deployment.processes["control-1"],
                 lambda: wait_for("the control host serves", self.control_served, 20),
                 misbehave, self.control_served, CONTROL_MB, descriptors)


def options(network):
    return {"network": network, "controls": 1, "entries": 1, "zones": 1, "groups": 2,
            "entry_settings": ENTRY_SETTINGS, "control_settings": CONTROL_SETTINGS}

