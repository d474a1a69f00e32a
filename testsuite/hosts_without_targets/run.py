"""An entry host that has lost all its targets serves its callers as well as the others do: in
silence, with connections reset, and with new connections alone refused."""

import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection

import forward
from fleet import check, http, wait_for
from forward import Call

# Time for a host to notice and to act.
NOTICE_S = 1.0
REQUESTS = 150
# First tries that may fail at a host without targets: one in 50.
ALLOWED_FAILURES = REQUESTS // 50
DEADLINE_MS = 2000


def cut(entry, kind):
    status, _, body = http("POST", f"{entry}:9000", "/v1/faults", {"targets": kind}, timeout=2.0)
    check(status == 200, f"the cut is simulated: {status} {body}")


def gauge(entry, name):
    _, _, body = http("GET", f"{entry}:9000", "/metrics", timeout=2.0)
    for line in body.decode().splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return None


def search_all(entries, count, label, rate=100.0):
    """Sends `count` searches to each entry host, on kept connections and new ones."""
    started = time.monotonic()

    def send(entry, lane, i):
        kept = HTTPConnection(entry, 8000, timeout=4) if lane % 2 else None
        calls = []
        for j in range(i, count, 8):
            time.sleep(max(0.0, started + j / rate - time.monotonic()))
            calls.append(Call(entry, "search.test", f"/{label}-{j}", deadline_ms=DEADLINE_MS,
                              connection=kept).perform())
        return entry, calls

    with ThreadPoolExecutor(8 * len(entries)) as callers:
        results = list(callers.map(lambda args: send(*args),
                                   [(entry, i, i) for entry in entries for i in range(8)]))
    by_entry = {entry: [] for entry in entries}
    for entry, calls in results:
        by_entry[entry] += calls
    return by_entry


def failures(deployment, calls):
    return [(call.status, round(call.duration_s, 2), call.response_fault(deployment.groups))
            for call in calls
            if call.status != 200 or call.response_fault(deployment.groups)]


def check_none_suspected(deployment, kind):
    """No host suspects the requests in flight at the hosts that lost their targets."""
    suspecting = [name for name in deployment.processes if name.startswith("entry")
               and b'"event":"evidence"' in open(deployment.path(f"{name}.log"), "rb").read()]
    check(not suspecting, f"{kind}: requests are suspected at {suspecting}")


def check_served(deployment, kind, cut_hosts):
    by_entry = search_all(deployment.entries, REQUESTS, kind)
    for entry, calls in by_entry.items():
        failed = failures(deployment, calls)
        allowed = ALLOWED_FAILURES if entry in cut_hosts else 0
        check(len(failed) <= allowed,
              f"{kind}: {entry} failed {len(failed)} of {len(calls)}: {failed[:5]}")
    # Orders run once at most, and at once.
    orders = [Call(entry, "orders.test", f"/{kind}-{i}", "POST", b"x" * 3000).perform()
              for entry in cut_hosts for i in range(10)]
    runs = deployment.runs_by_request()
    check([order.status for order in orders] == [200] * len(orders),
          f"{kind}: orders: {[order.status for order in orders]}")
    check([len(runs.get(order.id, [])) for order in orders] == [1] * len(orders),
          f"{kind}: each order ran once")


def case(deployment):
    entries = deployment.entries
    for entry in entries:
        wait_for("every shard answers", lambda e=entry: Call(
            e, "search.test", "/warm").perform().status == 200, 10)
    for kind in ("silent", "reset", "refuse-new"):
        cut_hosts = entries[:2]
        with ThreadPoolExecutor(1) as caller:
            # Requests that run when the cut begins do not wait for their deadline.
            during = caller.submit(search_all, cut_hosts, 60, f"{kind}-start", 60.0)
            time.sleep(0.3)
            for entry in cut_hosts:
                cut(entry, kind)
            for calls in during.result().values():
                late = [call.duration_s for call in calls if call.duration_s > DEADLINE_MS / 2000]
                check(not late, f"{kind}: no caller waits for the deadline: {late}")
        time.sleep(NOTICE_S)
        check_none_suspected(deployment, kind)
        check_served(deployment, kind, cut_hosts)
        for entry in cut_hosts:
            check(http("GET", f"{entry}:8001", "/ready", timeout=1.0)[0] == 200,
                  f"{kind}: a host that can have its requests served stays ready")
            cut(entry, "none")
        for entry in cut_hosts:
            wait_for(f"{kind}: {entry} reaches its targets again",
                     lambda e=entry: gauge(e, "snipeworks_targets_lost") == 0, 3)
        relayed = [gauge(entry, "snipeworks_requests_relayed") for entry in cut_hosts]
        check_served(deployment, f"{kind}-after", cut_hosts)
        check([gauge(entry, "snipeworks_requests_relayed") for entry in cut_hosts] == relayed,
              f"{kind}: requests go to targets directly again")

    # If no host reaches a target, callers are told so at once.
    for entry in entries:
        cut(entry, "silent")
    search_all(entries, 30, "none", 60.0)
    time.sleep(NOTICE_S)
    for calls in search_all(entries, 20, "none-left").values():
        check(all(call.status == 503 and "Retry-After" in call.headers and call.duration_s < 0.7
                  for call in calls),
              f"refused at once: {[(call.status, round(call.duration_s, 2)) for call in calls]}")
    check(http("GET", f"{entries[0]}:8001", "/ready", timeout=1.0)[0] == 503, "not ready")
    for entry in entries:
        cut(entry, "none")
    wait_for("all hosts serve again", lambda: all(
        Call(entry, "search.test", "/again").perform().status == 200 for entry in entries), 5)


forward.run_case(case, network=59, entries=5, zones=2, entry_settings={"allow_faults": True})
