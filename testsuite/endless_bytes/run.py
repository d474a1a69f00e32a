"""Hosts stay within their memory, and serve others, while bytes come without end: from all targets
at once, to many callers, in the forms of which a host keeps most; and from callers, in requests that
never end and requests whose responses nobody reads.

Guards against hosts that run out of memory: tiny headers took 266 MB of an entry host, complete
answers that a search holds 278 MB, unread responses more than a gigabyte of every host."""

import itertools
import socket
import sys
import threading
import time

import forward
from forward import Call
from fleet import Process, check, http, wait_for
from scripted_target import ScriptedTarget

TARGETS = 60
CALLERS = 40
SENDERS = 120
SECONDS = 4
MEMORY_MB = 160  # Of the smallest hosts in use.
SENDING_PROCESSES = 4
BLOCK_BYTES = 65536
LARGE_BODY = b"x" * (8 * 1024 * 1024 - 4096)  # Less than the limit of one answer.


def endless(start, repeated):
    block = repeated * (BLOCK_BYTES // len(repeated))
    return lambda request_id: itertools.chain([start], itertools.repeat(block))


def large_answer(request_id):
    return (f"HTTP/1.1 200 OK\r\nSnipe-Request-Id: {request_id}\r\n"
            f"Snipe-Signature: s.{request_id}.x\r\nContent-Length: {len(LARGE_BODY)}\r\n\r\n"
            ).encode() + LARGE_BODY


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
RESPONSES = {
    "tiny headers": endless(b"HTTP/1.1 200 OK\r\n", b"a:\r\n"),
    "interim headers": endless(b"HTTP/1.1 103 Early Hints\r\n", b"a:\r\n"),
    "body": endless(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 4096),
    "tiny chunks": endless(b"HTTP/1.1 200 OK\r\n" + CHUNKED, b"1\r\nx\r\n"),
    "large answers of other calls": endless(
        b"", b"HTTP/1.1 200 OK\r\nSnipe-Request-Id: other\r\nContent-Length: 60000\r\n\r\n" +
        b"x" * 60000),
    "large answers": large_answer,
}
REPORT = b"POST /v1/targets/x/report HTTP/1.1\r\nHost: h\r\n"
# The host, the beginning of what a sender sends, and what it repeats.
REQUESTS = {
    "report with a length": ("control-1", REPORT + b"Content-Length: 8000000\r\n\r\n",
                             b"x" * BLOCK_BYTES),
    "report in chunks": ("control-1", REPORT + CHUNKED,
                         (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 16),
    "unread responses": ("control-1", b"", b"GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n" * 200),
    "tiny headers of callers": ("entry-1", b"POST /x HTTP/1.1\r\n", b"a:\r\n" * 4096),
    "unread responses of an entry host": (
        "entry-1", b"", b"GET /none HTTP/1.1\r\nHost: none\r\n\r\n" * 200),
}
GROUPS = [f"bad-{i + 1}" for i in range(TARGETS)]


def peak_mb(process):
    with open(f"/proc/{process.handle.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


def serve(form, part, address, zone, controls):
    """Runs a part of the targets, in a process of its own."""
    for i, group in list(enumerate(GROUPS))[part::SENDING_PROCESSES]:
        ScriptedTarget(f"t-{group}", group, zone, address, 20500 + i,
                       RESPONSES[form]).keep_reporting(controls)
    threading.Event().wait()


def send_endlessly(address, start, repeated, end):
    while time.monotonic() < end:
        try:
            with socket.create_connection((address, 8000), timeout=1) as connection:
                connection.sendall(start)
                while time.monotonic() < end:
                    connection.sendall(repeated)
        except OSError:
            time.sleep(0.05)


def run_threads(count, function):
    threads = [threading.Thread(target=function, args=(i,)) for i in range(count)]
    for thread in threads:
        thread.start()
    return threads


def case(deployment):
    entry = deployment.entries[0]
    routes = deployment.routes(bad={
        "host": "bad.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
        "objective_ms": 200, "rank": 1, "shards": GROUPS, "max_attempts": 2, "top_records": 10,
        "min_shard_share": 0.5}, one={
        "host": "one.test", "path_prefix": "/", "kind": "once", "timeout_ms": 2000,
        "objective_ms": 200, "rank": 1, "group": GROUPS[0], "max_attempts": 2})
    document = deployment.routing_document(routes)
    document["groups"] += [{"name": name, "max_connections": 30} for name in GROUPS]
    check(http("POST", f"{deployment.controls[0]}:8000", "/v1/routing/replace", document,
               timeout=5.0)[0] == 200, "the routes are accepted")

    def restarted(name):
        process = deployment.processes[name]
        process.kill()
        process.restart()
        wait_for("every shard answers", lambda: deployment.all_shards_answer(), 20)
        return process

    def search_until(end):
        calls = []
        while time.monotonic() < end:
            calls.append(Call(entry, "search.test", f"/q{len(calls)}").perform())
            time.sleep(0.02)
        return calls

    def check_host(process, form, calls):
        peak = peak_mb(process)
        good = sum(call.status == 200 and call.response_fault(deployment.groups) is None
                   for call in calls)
        print(f"{form}: peak {peak:.0f} MB, {good} of {len(calls)} other searches served")
        check(process.alive(), f"{form}: the host is running")
        check(peak < MEMORY_MB, f"{form}: the host used {peak:.0f} MB")
        check(good >= 0.95 * len(calls) and good > 0, f"{form}: {good} of {len(calls)} served")

    for form in RESPONSES:
        host = restarted("entry-1")
        servers = [Process(f"endless-{i}", [sys.executable, __file__, "serve", form, str(i),
                                            deployment.target_address, deployment.zones[0]] +
                           deployment.controls, deployment.path(f"endless-{i}.log"))
                   for i in range(SENDING_PROCESSES)]
        wait_for("the targets are known", lambda: Call(
            entry, "bad.test", "/x", deadline_ms=500).perform().status not in (404, 503), 15)
        end = time.monotonic() + SECONDS

        def call_bad_targets(number):
            while time.monotonic() < end:
                Call(entry, "one.test" if number % 5 == 0 else "bad.test", f"/{number}").perform()
        callers = run_threads(CALLERS, call_bad_targets)
        calls = search_until(end)
        for caller in callers:
            caller.join()
        for server in servers:
            server.kill()
        check_host(host, form, calls)

    for form, (name, start, repeated) in REQUESTS.items():
        host = restarted(name)
        address = entry if name.startswith("entry") else deployment.controls[0]
        end = time.monotonic() + SECONDS
        senders = run_threads(SENDERS, lambda i: send_endlessly(address, start, repeated, end))
        calls = search_until(end)
        for sender in senders:
            sender.join()
        check_host(host, form, calls)


if len(sys.argv) > 2 and sys.argv[1] == "serve":
    serve(sys.argv[2], int(sys.argv[3]), sys.argv[4], sys.argv[5], sys.argv[6:])
else:
    forward.run_case(case, network=68, entries=1)
