"""Sixty targets send without end, in every place that bytes can stand, while a host
serves others."""

import itertools
import sys
import threading
import time

import forward
from forward import Call
from fleet import Process, check, http, wait_for
from scripted_target import ScriptedTarget

TARGETS = 60
# The smallest hosts that operators use, and the objective of the other route.
MEMORY_MB = 160
OBJECTIVE_S = 0.2
PIECE = 4000


def endless(begin, again):
    return lambda request_id: itertools.chain([begin], itertools.repeat(again))


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FORMS = [
    endless(b"HTTP/1.1 200 OK\r\n", b"X: " + b"x" * PIECE + b"\r\n"),
    endless(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * PIECE),
    endless(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", b"x" * PIECE),
    endless(CHUNKED, b"1\r\nx\r\n" * 500),
    endless(CHUNKED + b"1;", b"x" * PIECE),
    endless(CHUNKED + b"0\r\n", b"X: " + b"x" * PIECE + b"\r\n"),
    endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    endless(b"", b"HTTP/1.1 200 OK\r\nSnipe-Request-Id: other\r\nContent-Length: 2\r\n\r\nno" * 50),
    endless(b"", b"x" * PIECE),
]


def slow(request_id):
    yield b"HTTP/1.1 200 OK\r\n\r\n"
    while True:
        time.sleep(0.05)
        yield b"x" * 100


FORMS.append(slow)


def peak_mb(process):
    with open(f"/proc/{process.handle.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


GROUPS = [f"bad-{i + 1}" for i in range(TARGETS)]


def serve(address, zone, controls):
    """Runs the targets, in a process of their own: they need a whole core."""
    for i, group in enumerate(GROUPS):
        ScriptedTarget(f"t-{group}", group, zone, address, 20500 + i,
                       FORMS[i % len(FORMS)]).keep_reporting(controls)
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
               timeout=5.0)[0] == 200, "the route is taken")
    deployment.processes["endless"] = Process(
        "endless", [sys.executable, __file__, "serve", deployment.target_address,
                    deployment.zones[0]] + deployment.controls, deployment.path("endless.log"))
    bad = []
    wait_for("the targets are known", lambda: Call(
        deployment.entries[0], "bad.test", "/x",
        deadline_ms=500).perform().status not in (404, 503), 15)
    host = deployment.processes["entry-1"]
    stop = threading.Event()

    def ask_bad():
        while not stop.is_set():
            bad.append(Call(deployment.entries[0], "bad.test", "/x", deadline_ms=2000).perform())
    callers = [threading.Thread(target=ask_bad) for _ in range(4)]
    for caller in callers:
        caller.start()
    took = []
    until = time.monotonic() + 10
    while time.monotonic() < until:
        call = Call(deployment.entries[0], "search.test", f"/q{len(took)}").perform()
        check(call.status == 200 and call.response_fault(deployment.groups) is None,
              f"{call.status}")
        took.append(call.duration_s)
        time.sleep(0.02)
    stop.set()
    for caller in callers:
        caller.join()
    check(host.alive(), "the host is there")
    check(not [one for one in bad if one.status == 200], "bytes without end are no answer")
    check(all(one.status >= 500 for one in bad), f"{[one.status for one in bad]}")
    check(max(one.duration_s for one in bad) < 2.3, "every caller hears by its deadline")
    peak = peak_mb(host)
    check(peak < MEMORY_MB, f"the host took {peak:.0f} MB")
    took.sort()
    middle, late = took[len(took) // 2], took[len(took) * 99 // 100]
    print(f"{len(bad)} searches over {TARGETS} endless targets; beside them {len(took)} others, "
          f"median {middle * 1000:.0f} ms, p99 {late * 1000:.0f} ms; peak {peak:.0f} MB")
    check(late < OBJECTIVE_S, f"p99 of the others {late:.3f} s")


if len(sys.argv) > 2 and sys.argv[1] == "serve":
    serve(sys.argv[2], sys.argv[3], sys.argv[4:])
else:
    forward.run_case(case, network=45, entries=1)
