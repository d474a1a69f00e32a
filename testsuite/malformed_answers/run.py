"""Bytes of a target that are no HTTP response reach no caller: not from the only target of a
request that may run once, not from the last attempt of one that may be repeated, not as a part of a
search, and not over another entry host.

Guards against a status line without its last digit, which was passed on as the target's answer."""

import itertools
import re
import socket

import forward
from fleet import check, http, wait_for
from scripted_target import ScriptedTarget, response_with_record

STATUS_LINE = re.compile(rb"HTTP/1\.1 [2-5][0-9][0-9] ")
REST = b"\r\nContent-Length: 0\r\n\r\n"
HEADS = [
    b"HTTP/1.1 20 OK", b"HTTP/1.1 2 OK", b"HTTP/1.1 020 OK", b"HTTP/1.1 0200 OK",
    b"HTTP/1.1  200 OK", b"HTTP/1.1 600 Odd", b"HTTP/1.1 999 Odd", b"HTTP/1.1 000 Odd",
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
    heads = itertools.cycle(HEADS)
    spoiled = {"on": False, "count": 0}

    def make_responder(group):
        def respond(request_id):
            if not spoiled["on"]:
                return response_with_record(request_id, group)
            spoiled["count"] += 1
            head = next(heads)
            return response_with_record(request_id, group).replace(b"HTTP/1.1 200 OK", head, 1)
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
            response = first_bytes(entry, host, f"/{label}-{i}", f"{label}-{host}-{i}")
            check(STATUS_LINE.match(response), f"{label} {host}: {response[:80]}")
            status = int(response[9:12])
            check(status >= 500, f"{label} {host}: {response[:80]}")
            statuses[status] = statuses.get(status, 0) + 1
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


forward.run_case(case, network=62, entry_settings={"allow_faults": True})
