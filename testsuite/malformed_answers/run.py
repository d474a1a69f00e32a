"""Bytes of a target that are no HTTP response reach no caller: not from the only target of a
request that may run once, not from the last attempt of one that may be repeated, not as a part of a
search, not over another entry host, and not as the answer of a target of snipe-entry.

Guards against a status line without its last digit, and against status 000, which were passed on as
the target's answer."""

import itertools
import json
import re
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import fleet as fleet_module
import forward
from fleet import check, http, wait_for
from scripted_target import ScriptedTarget, response_with_record

STATUS_LINE = re.compile(rb"HTTP/1\.1 [2-5][0-9][0-9] ")
REST = b"\r\nContent-Length: 0\r\n\r\n"
ZERO = b"HTTP/1.1 000 Odd"
HEADS = [
    b"HTTP/1.1 20 OK", b"HTTP/1.1 2 OK", b"HTTP/1.1 020 OK", b"HTTP/1.1 0200 OK",
    b"HTTP/1.1  200 OK", b"HTTP/1.1 600 Odd", b"HTTP/1.1 999 Odd", ZERO,
    b"HTTP/1.1 101 Switching Protocols", b"HTTP/9.9 200 OK", b"HTTP/0.9 200 OK",
    b"HTTP/1.1 200 O\x01K", b"HTTP/1.1 200 OK\r\nA B: c", b"HTTP/1.1 404 No\r\nA : b",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20 OK",
]
GROUPS = {"alone": "once", "twice": "repeatable"}


def first_bytes(entry, host, target, request_id):
    """The response, up to the end of the connection."""
    received = b""
    with socket.create_connection((entry, 8000), timeout=4) as connection:
        connection.sendall(
            (f"POST {target} HTTP/1.1\r\nHost: {host}\r\nSnipe-Request-Id: {request_id}\r\n"
             "Snipe-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 3\r\n\r\none")
            .encode())
        while True:
            read = connection.recv(65536)
            if not read:
                return received
            received += read


def case(deployment):
    spoiled = {"on": False, "count": 0, "head": b""}

    def make_responder(group):
        def respond(request_id):
            if not spoiled["on"]:
                return response_with_record(request_id, group)
            spoiled["count"] += 1
            return response_with_record(request_id, group).replace(
                b"HTTP/1.1 200 OK", spoiled["head"], 1)
        return respond

    targets = [ScriptedTarget(f"{group}-{i}", group, deployment.zones[0],
                              deployment.target_address, 20500 + 10 * g + i,
                              make_responder(group))
               for g, group in enumerate([*GROUPS, "shard"]) for i in range(2)]
    routes = deployment.routes(
        shards={"host": "shards.test", "path_prefix": "/", "kind": "repeatable",
                "timeout_ms": 2000, "objective_ms": 200, "rank": 1, "shards": ["shard"],
                "max_attempts": 2, "top_records": 10, "min_shard_share": 1.0},
        **{group: {"host": f"{group}.test", "path_prefix": "/", "kind": kind,
                   "timeout_ms": 2000, "objective_ms": 200, "rank": 1, "group": group,
                   "max_attempts": 2} for group, kind in GROUPS.items()})
    document = deployment.routing_document(routes)
    document["groups"] += [{"name": group, "max_connections": 30} for group in [*GROUPS, "shard"]]
    check(http("POST", f"{deployment.controls[0]}:8000", "/v1/routing/replace", document,
               timeout=5.0)[0] == 200, "the routes are accepted")
    for target in targets:
        target.keep_reporting(deployment.controls)
    hosts = [f"{group}.test" for group in GROUPS] + ["shards.test"]
    for entry, host in itertools.product(deployment.entries, hosts):
        wait_for(f"{host} is served", lambda e=entry, h=host: first_bytes(
            e, h, "/x", "ready").startswith(b"HTTP/1.1 200 "), 15)

    def check_callers(entry, label):
        statuses = {}
        for i, host in itertools.product(range(4 * len(HEADS)), hosts):
            spoiled["head"] = HEADS[i % len(HEADS)]
            response = first_bytes(entry, host, f"/{label}-{i}", f"{label}-{host}-{i}")
            check(STATUS_LINE.match(response), f"{label} {host}: {response[:80]}")
            status = int(response[9:12])
            check(status >= 500, f"{label} {host}: {response[:80]}")
            statuses[status] = statuses.get(status, 0) + 1
        # Targets that have failed rest for a moment; requests are refused then.
        spoiled["head"] = ZERO
        for host in hosts:
            before = spoiled["count"]
            for i in range(100):
                response = first_bytes(entry, host, f"/{label}-zero-{i}", f"{label}-{host}-zero-{i}")
                check(STATUS_LINE.match(response) and int(response[9:12]) >= 500,
                      f"{label} {host}: {response[:80]} for status 000")
                if spoiled["count"] > before:
                    break
                time.sleep(0.05)
            check(spoiled["count"] > before, f"{label} {host}: no target answers with status 000")
        print(f"{label}: {statuses} for {spoiled['count']} malformed answers")
        check(statuses.get(502), f"{label}: no request reached a target: {statuses}")

    spoiled["on"] = True
    check_callers(deployment.entries[0], "direct")
    http("POST", f"{deployment.entries[0]}:9000", "/v1/faults", {"targets": "silent"})
    spoiled["on"] = False
    wait_for("the host without targets serves over another",
             lambda: first_bytes(deployment.entries[0], "twice.test", "/x", "relayed").startswith(
                 b"HTTP/1.1 200 "), 10)
    spoiled["on"] = True
    check_callers(deployment.entries[0], "relayed")
    http("POST", f"{deployment.entries[0]}:9000", "/v1/faults", {"targets": "none"})
    spoiled["on"] = False
    for entry, host in itertools.product(deployment.entries, hosts):
        wait_for(f"{host} is served again", lambda e=entry, h=host: first_bytes(
            e, h, "/x", "after").startswith(b"HTTP/1.1 200 "), 15)
    _, _, metrics = http("GET", f"{deployment.entries[1]}:9000", "/metrics")
    check(b"\nsnipeworks_target_answers_malformed 0\n" not in metrics, "the metric counts them")
    for target in targets:
        target.close()


class EntryTarget(BaseHTTPRequestHandler):
    """A target of snipe-entry that answers each attempt with one part; `head` is its status line."""

    protocol_version = "HTTP/1.1"
    head = b"HTTP/1.1 200 OK"
    runs = 0

    def log_message(self, *arguments):
        pass

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        answer = {"state": "finished", "incarnation": 1}
        head = b"HTTP/1.1 200 OK"
        if self.path == "/v1/run":
            EntryTarget.runs += 1
            head = self.head
            answer = {"attempt": json.loads(body)["attempt"], "status": "answered", "snapshot": 1,
                      "digest": "d", "part": 0, "documents": 10, "queue_us": 0, "hits": []}
        text = json.dumps(answer).encode()
        self.wfile.write(head + b"\r\nContent-Length: %d\r\n\r\n" % len(text) + text)


def entry_case(fleet):
    address = fleet.entries()[0].split(":")[0]
    server = ThreadingHTTPServer((address, 0), EntryTarget)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    announcement = {
        "target": "odd", "incarnation": 1, "zone": fleet.zones[0], "group": "odd", "slots": 4,
        "address": f"{address}:{server.server_port}", "state": "serving", "connections": 4,
        "snapshots": [{"number": 1, "digest": "d", "manifest": [{"part": 0, "documents": 10}],
                       "parts": [0]}]}
    stopped = threading.Event()

    def keep_announcing():
        for sequence in itertools.count(1):
            for entry in fleet.entries():
                http("POST", entry, "/v1/announcements", {**announcement, "sequence": sequence})
            if stopped.wait(0.5):
                return

    announcer = threading.Thread(target=keep_announcing, daemon=True)
    announcer.start()
    wait_for("the target is used", lambda: fleet.search("odd", "q")[0] == 200, 15)
    for head in HEADS:
        EntryTarget.head, EntryTarget.runs = head, 0
        # Targets that have failed rest for a moment; requests are refused then.
        for i in range(50):
            status, _, body = fleet.search("odd", f"q {i}")
            if EntryTarget.runs:
                break
            time.sleep(0.1)
        check(EntryTarget.runs, f"{head}: no request reached the target: {status} {body}")
        check(status >= 500, f"{head}: the caller gets {status} {body}")
    EntryTarget.head = b"HTTP/1.1 200 OK"
    wait_for("the target is used again", lambda: fleet.search("odd", "q")[0] == 200, 15)
    stopped.set()
    announcer.join()
    server.shutdown()


forward.run_case(case, network=62, entry_settings={"allow_faults": True})
fleet_module.run_case(entry_case, first_port=23660)
