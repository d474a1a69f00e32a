"""A request that kills targets kills at most two, however often and through whichever
host it is sent again; innocent requests go on."""

import threading
import time

import fleet as fleet_module
from fleet import check

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
        "--arm", fleet.arm(), "--group", "lots", "--rate", "50", "--seconds", "12",
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
    load.join()
    stop.set()
    supervisor.join()
    print(f"crashed targets: {crashes}, slowest answer {slowest * 1000:.0f} ms")
    check(crashes <= 2, f"{crashes} targets crashed")
    check(slowest <= 1.0, f"an answer took {slowest:.2f} s")
    arm = report["all"]
    check(arm["outcomes"] == {"complete": arm["sent"]},
          f"innocent searches are whole: {arm['outcomes']}")
    fleet.check_history(fleet.path("callers.jsonl"))


fleet_module.run_case(case, first_port=23400)
