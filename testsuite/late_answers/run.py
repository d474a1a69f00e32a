"""Late bytes of a target that look like a response without a request id answer no request: nothing
that may run once runs twice, and no caller gets the answer of another request; to one group, over
shards, and over another entry host.

Guards against a late refusal that was taken for the proof that a running request had not run."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import forward
from fleet import check, http, wait_for
from forward import Call
from scripted_target import ScriptedTarget, response_with_record

GROUPS = {"alone": "once", "twice": "repeatable"}
LATE_RESPONSES = [
    lambda previous: b"HTTP/1.1 503 Busy\r\nSnipe-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    lambda previous: b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
    lambda previous: b"HTTP/1.1 404 Not Found\r\nSnipe-Signature: s\r\nContent-Length: 0\r\n\r\n",
    lambda previous: response_with_record("", previous).replace(b"Snipe-Request-Id: \r\n", b"", 1),
]
WORK_S = 0.01
CALLERS = 6
CALLS = 240


def case(deployment):
    late = {"on": False, "count": 0}
    runs = {}
    lock = threading.Lock()
    responses = itertools.cycle(LATE_RESPONSES)

    def make_responder(group):
        connection = threading.local()  # Each connection has a thread of its own.

        def respond(request_id):
            with lock:
                runs[group, request_id] = runs.get((group, request_id), 0) + 1
                extra = next(responses) if late["on"] and hasattr(connection, "previous") else None
                late["count"] += extra is not None
            if extra:
                yield extra(connection.previous)
            time.sleep(WORK_S)
            connection.previous = group
            yield response_with_record(request_id, group)
        return respond

    targets = [ScriptedTarget(f"{group}-{i}", group, deployment.zones[0],
                              deployment.target_address, 20500 + 10 * g + i,
                              make_responder(group))
               for g, group in enumerate([*GROUPS, "shard"]) for i in range(2)]
    routes = deployment.routes(
        shards={"host": "shards.test", "path_prefix": "/", "kind": "repeatable",
                "timeout_ms": 2000, "objective_ms": 500, "rank": 1, "shards": ["shard"],
                "max_attempts": 2, "top_records": 10, "min_shard_share": 1.0},
        **{group: {"host": f"{group}.test", "path_prefix": "/", "kind": kind,
                   "timeout_ms": 2000, "objective_ms": 500, "rank": 1, "group": group,
                   "max_attempts": 2} for group, kind in GROUPS.items()})
    document = deployment.routing_document(routes)
    document["groups"] += [{"name": group, "max_connections": 30} for group in [*GROUPS, "shard"]]
    check(http("POST", f"{deployment.controls[0]}:8000", "/v1/routing/replace", document,
               timeout=5.0)[0] == 200, "the routes are accepted")
    for target in targets:
        target.keep_reporting(deployment.controls)
    hosts = [f"{group}.test" for group in GROUPS] + ["shards.test"]
    entry = deployment.entries[0]

    def wait_until_served():
        for host in hosts:
            wait_for(f"{host} is served", lambda h=host: Call(
                entry, h, "/ready").perform().status == 200, 15)

    def check_calls(label):
        def send(i):
            call = Call(entry, hosts[i % len(hosts)], f"/{label}-{i}", "POST", b"one").perform()
            signatures = call.signatures or [call.headers.get("Snipe-Signature", "none.none")]
            check(call.status == 200, f"{label} {call.entry}: {call.status} for {call.id}")
            check(all(signature.split(".")[1] == call.id for signature in signatures),
                  f"{label}: the caller of {call.id} gets {signatures}")

        late.update(on=True, count=0)
        with ThreadPoolExecutor(CALLERS) as callers:
            list(callers.map(send, range(CALLS)))
        late["on"] = False
        twice = [run for run, count in runs.items() if run[0] == "alone" and count > 1]
        check(not twice, f"{label}: {len(twice)} requests ran twice")
        check(late["count"] > CALLS / 10, f"{label}: {late['count']} late responses")
        print(f"{label}: {CALLS} calls beside {late['count']} late responses")

    wait_until_served()
    check_calls("direct")
    http("POST", f"{entry}:9000", "/v1/faults", {"targets": "silent"})
    wait_until_served()
    check_calls("relayed")
    http("POST", f"{entry}:9000", "/v1/faults", {"targets": "none"})
    for target in targets:
        target.close()


forward.run_case(case, network=65, entry_settings={"allow_faults": True})
