"""snipe-entry: a host that has lost all its targets serves searches and orders as well as the
others do: in silence, with connections reset, and with new connections alone refused."""

import time
from concurrent.futures import ThreadPoolExecutor

import fleet as fleet_module
from fleet import check, http, wait_for

NOTICE_S = 1.0
SEARCHES = 100
RATE_PER_S = 50.0
# First tries that may fail at a host without targets: one in 50.
ALLOWED_FAILURES = SEARCHES // 50
DEADLINE_MS = 2000


def cut(fleet, index, kind):
    status, _, body = http("POST", fleet.entries()[index], "/v1/faults", {"targets": kind})
    check(status == 200, f"the cut is simulated: {status} {body}")


def search_all(fleet, index, label, count=SEARCHES):
    """Sends searches at an even rate; returns (status, complete, seconds) of each."""
    started = time.monotonic()

    def send(i):
        time.sleep(max(0.0, started + i / RATE_PER_S - time.monotonic()))
        sent = time.monotonic()
        status, _, answer = fleet.search("lots", f"{label} {i}", entry=index,
                                         headers={"Snipe-Deadline-Ms": str(DEADLINE_MS)})
        coverage = answer.get("coverage", {})
        complete = status == 200 and \
            coverage["documents_answered"] == coverage["documents_total"]
        return status, complete, time.monotonic() - sent

    with ThreadPoolExecutor(16) as callers:
        return list(callers.map(send, range(count)))


def order(fleet, index, key):
    return http("POST", fleet.entries()[index], "/v1/groups/orders/actions", {"query": key},
                {"Snipe-Caller": "c", "Snipe-Deadline-Ms": str(DEADLINE_MS),
                 "Idempotency-Key": f"{int(time.time())}.{key}"})


def check_served(fleet, index, label):
    results = search_all(fleet, index, label)
    failed = [result for result in results if not result[1]]
    check(len(failed) <= ALLOWED_FAILURES,
          f"{label}: {len(failed)} of {len(results)} searches fail: {failed[:5]}")
    for i in range(10):
        status, _, body = order(fleet, index, f"order-{label}-{i}")
        check(status == 200 and b'"ran":"yes"' in body, f"{label}: order: {status} {body}")


def case(fleet):
    wait_for("every host sees every target", lambda: all(
        sum(target["usable"] for target in fleet.status(i)["targets"]) == 8
        for i in range(len(fleet.entry_hosts))))
    search_all(fleet, 0, "warm", 50)
    for kind in ("silent", "reset", "refuse-new"):
        with ThreadPoolExecutor(1) as caller:
            during = caller.submit(search_all, fleet, 0, f"{kind}-start", 50)
            time.sleep(0.3)
            cut(fleet, 0, kind)
            late = [result for result in during.result() if result[2] > DEADLINE_MS / 2000]
            check(not late, f"{kind}: no caller waits for the deadline: {late[:5]}")
        time.sleep(NOTICE_S)
        check_served(fleet, 0, kind)
        check(http("GET", fleet.entries()[0], "/readyz")[0] == 200, f"{kind}: the host is ready")
        quarantined = [fleet.status(i)["quarantined"] for i in range(len(fleet.entry_hosts))]
        check(not any(quarantined), f"{kind}: requests are quarantined: {quarantined}")
        cut(fleet, 0, "none")
        time.sleep(NOTICE_S)
        check_served(fleet, 0, f"{kind}-after")
    # If no host reaches a target, callers are told so at once.
    for i in range(len(fleet.entry_hosts)):
        cut(fleet, i, "silent")
        search_all(fleet, i, f"lost-{i}", 40)
    time.sleep(NOTICE_S)
    results = search_all(fleet, 0, "none-left", 30)
    check(all(status == 503 and seconds < 0.7 for status, _, seconds in results),
          f"refused at once: {results[:5]}")
    check(http("GET", fleet.entries()[0], "/readyz")[0] == 503, "the host is not ready")


fleet_module.run_case(case, first_port=24200, entries=4)
