"""An entry host stays within its memory and latency limits while 60 targets send endless
responses, each form in another part of the HTTP message."""

import itertools
import sys
import threading
import time

import forward
from forward import Call
from fleet import Process, check, http, wait_for
from scripted_target import ScriptedTarget

TARGETS = 60
# The memory of the smallest hosts in use, and the latency objective of the other route.
MEMORY_MB = 160
OBJECTIVE_S = 0.2
CHUNK_BYTES = 4000


def endless(start, repeated):
    return lambda request_id: itertools.chain([start], itertools.repeat(repeated))


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSES = [
    endless(b"HTTP/1.1 200 OK\r\n", b"X: " + b"x" * CHUNK_BYTES + b"\r\n"),
    endless(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * CHUNK_BYTES),
    endless(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", b"x" * CHUNK_BYTES),
    endless(CHUNKED, b"1\r\nx\r\n" * 500),
    endless(CHUNKED + b"1;", b"x" * CHUNK_BYTES),
    endless(CHUNKED + b"0\r\n", b"X: " + b"x" * CHUNK_BYTES + b"\r\n"),
    endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    endless(b"", b"HTTP/1.1 200 OK\r\nSnipe-Request-Id: other\r\nContent-Length: 2\r\n\r\nno" * 50),
    endless(b"", b"x" * CHUNK_BYTES),
]


def slow_response(request_id):
    yield b"HTTP/1.1 200 OK\r\n\r\n"
    while True:
        time.sleep(0.05)
        yield b"x" * 100


RESPONSES.append(slow_response)


def peak_mb(process):
    with open(f"/proc/{process.handle.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


GROUPS = [f"bad-{i + 1}" for i in range(TARGETS)]


def serve(address, zone, controls):
    """Runs the targets. They have their own process because they use a whole core."""
    for i, group in enumerate(GROUPS):
        ScriptedTarget(f"t-{group}", group, zone, address, 20500 + i,
                       RESPONSES[i % len(RESPONSES)]).keep_reporting(controls)
    threading.Event().wait()


def case(deployment):
    groups = GROUPS
    routes = deployment.routes(bad={
        "host": "bad.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
        "objective_ms": 200, "rank": 1, "shards": groups, "max_attempts": 1, "top_records": 10,
        "min_shard_share": 0.5})
    document = deployment.routing_document(routes)
    document["groups"] += [{"name": name, "max_connections": 30} for name in groups]
    check(http("POST", f"{deployment.controls[0]}:8000", "/v1/routing/replace", document,
               timeout=5.0)[0] == 200, "the route is accepted")
    deployment.processes["endless"] = Process(
        "endless", [sys.executable, __file__, "serve", deployment.target_address,
                    deployment.zones[0]] + deployment.controls, deployment.path("endless.log"))
    bad_calls = []
    wait_for("the targets are known", lambda: Call(
        deployment.entries[0], "bad.test", "/x",
        deadline_ms=500).perform().status not in (404, 503), 15)
    host = deployment.processes["entry-1"]
    stop = threading.Event()

    def send_bad_calls():
        while not stop.is_set():
            bad_calls.append(
                Call(deployment.entries[0], "bad.test", "/x", deadline_ms=2000).perform())
    callers = [threading.Thread(target=send_bad_calls) for _ in range(4)]
    for caller in callers:
        caller.start()
    durations = []
    end = time.monotonic() + 10
    while time.monotonic() < end:
        call = Call(deployment.entries[0], "search.test", f"/q{len(durations)}").perform()
        check(call.status == 200 and call.response_fault(deployment.groups) is None,
              f"{call.status}")
        durations.append(call.duration_s)
        time.sleep(0.02)
    stop.set()
    for caller in callers:
        caller.join()
    check(host.alive(), "the entry host is running")
    check(not [call for call in bad_calls if call.status == 200],
          "an endless response is never passed on as a success")
    check(all(call.status >= 500 for call in bad_calls),
          f"{[call.status for call in bad_calls]}")
    check(max(call.duration_s for call in bad_calls) < 2.3,
          "every caller gets a response by its deadline")
    peak = peak_mb(host)
    check(peak < MEMORY_MB, f"the entry host used {peak:.0f} MB")
    durations.sort()
    median, p99 = durations[len(durations) // 2], durations[len(durations) * 99 // 100]
    print(f"{len(bad_calls)} searches over {TARGETS} endless targets; "
          f"meanwhile {len(durations)} others, median {median * 1000:.0f} ms, "
          f"p99 {p99 * 1000:.0f} ms; peak {peak:.0f} MB")
    check(p99 < OBJECTIVE_S, f"p99 of the other searches {p99:.3f} s")


if len(sys.argv) > 2 and sys.argv[1] == "serve":
    serve(sys.argv[2], sys.argv[3], sys.argv[4:])
else:
    forward.run_case(case, network=45, entries=1)
