"""A search or an order that kills targets kills at most two, however often and through
whichever host it is sent again; innocent requests go on."""

import threading
import time

import fleet as fleet_module
from fleet import check, http

REPLICAS = [f"lots-p{part}-r{replica}" for part in range(3) for replica in range(2)]


def case(fleet):
    # One process for each target, so that a crash takes one target with it.
    for zone in fleet.zones:
        fleet.processes.pop(f"targets-{zone}").stop()
    for name in REPLICAS:
        fleet.start_targets(only=name, name="target-" + name)
    time.sleep(2)
    crashes = 0
    stop = threading.Event()

    def supervise():
        nonlocal crashes
        while not stop.is_set():
            for name in REPLICAS:
                process = fleet.processes["target-" + name]
                if not process.alive():
                    crashes += 1
                    process.restart()
            time.sleep(0.1)

    supervisor = threading.Thread(target=supervise)
    supervisor.start()
    report = {}
    load = threading.Thread(target=lambda: report.update(fleet.load(
        "--arm", fleet.arm(), "--group", "lots", "--rate", "50", "--seconds", "16",
        "--history", fleet.path("callers.jsonl"))))
    load.start()
    time.sleep(2)
    slowest = 0.0
    for i in range(40):
        started = time.monotonic()
        status, headers, answer = fleet.search("lots", "crash-target now", entry=i % 3)
        slowest = max(slowest, time.monotonic() - started)
        check(status >= 500, f"a final answer, not {status}")
        check(int(headers["Retry-After"]) >= 1, "it says when to come back")
        time.sleep(0.2)
    check(crashes <= 2, f"{crashes} targets crashed")

    # An order with a key of its own each time, so that no claim stops it.
    before = crashes
    for i in range(12):
        started = time.monotonic()
        status, headers, answer = http(
            "POST", fleet.entries()[i % 3], "/v1/groups/lots/actions", {"query": "crash-target order"},
            {"Snipe-Caller": "shop", "Idempotency-Key": f"{int(time.time())}.crashing-{i}"})
        slowest = max(slowest, time.monotonic() - started)
        check(status in (502, 503), f"not {status}")
        time.sleep(0.2)
    print(f"crashed targets: {crashes - before} by orders")
    check(status == 503 and b"quarantined" in answer, f"the last order is refused: {answer}")
    check(crashes - before <= 2, f"{crashes - before} targets crashed by orders")
    load.join()
    stop.set()
    supervisor.join()
    print(f"crashed targets: {crashes} in all, slowest answer {slowest * 1000:.0f} ms")
    check(slowest <= 1.0, f"an answer took {slowest:.2f} s")
    arm = report["all"]
    check(arm["outcomes"] == {"complete": arm["sent"]},
          f"innocent searches are whole: {arm['outcomes']}")
    fleet.check_history(fleet.path("callers.jsonl"))


fleet_module.run_case(case, first_port=23400)
