"""Targets whose responses are scripted by the test case; they run on threads of its process."""

import json
import socket
import threading
import time

from fleet import http


class ScriptedTarget:
    """Serves one address. `make_response(request_id)`, or with the bytes of the request's head as
    a second argument if `with_head` is set, returns the bytes to send, or a generator whose
    chunks are sent in turn until the caller closes the connection."""

    def __init__(self, name, group, zone, address, port, make_response, slots=4,
                 with_head=False):
        self.name, self.group, self.zone = name, group, zone
        self.address, self.port, self.make_response = address, port, make_response
        self.slots = slots
        self.with_head = with_head
        self.incarnation = int(time.time() * 1000)
        self.sequence = 0
        self.arrival_times = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, port))
        self.listener.listen(64)
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def report(self, control, state="serving", sequence=None):
        """Posts a report to one control host; returns the status."""
        self.sequence += 1
        return http("POST", f"{control}:8000", f"/v1/targets/{self.name}/report", {
            "group": self.group, "address": f"{self.address}:{self.port}", "zone": self.zone,
            "version": "1", "slots": self.slots, "state": state, "cold_ms": 0,
            "sequence": sequence or self.sequence, "incarnation": self.incarnation}, timeout=1.0)[0]

    def keep_reporting(self, controls):
        def loop():
            while not self.closed:
                for control in controls:
                    if self.report(control) == 200:
                        break
                time.sleep(0.4)
        threading.Thread(target=loop, daemon=True).start()

    def close(self):
        self.closed = True
        self.listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            with connection:
                pending = b""
                while not self.closed:
                    while b"\r\n\r\n" not in pending:
                        read = connection.recv(65536)
                        if not read:
                            return
                        pending += read
                    head, pending = pending.split(b"\r\n\r\n", 1)
                    self.arrival_times.append(time.monotonic())
                    request_id = header_value(head, "snipe-request-id")
                    response = (self.make_response(request_id, head) if self.with_head
                                else self.make_response(request_id))
                    for chunk in [response] if isinstance(response, bytes) else response:
                        connection.sendall(chunk)
        except OSError:
            pass


def header_value(head, name):
    for line in head.decode().split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name:
            return value.strip()
    return ""


def response_with_record(request_id, group, status="200 OK", extra_headers=""):
    """A complete response with one record; `extra_headers` holds complete header lines."""
    body = b"r" * 16
    return (f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
            f"Snipe-Request-Id: {request_id}\r\n"
            f"Snipe-Signature: {group}.{request_id}.scripted\r\n"
            f"{extra_headers}\r\n").encode() + body


def json_lines(path):
    """Yields the JSON lines of a log."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            try:
                yield json.loads(line)
            except ValueError:
                continue  # A line in glog's own format.
