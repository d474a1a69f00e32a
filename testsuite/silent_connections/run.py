"""Open connections that stall for good, while new ones work, do not reduce coverage."""

import threading
import time

import fleet as fleet_module
from fleet import check, http


def case(fleet):
    report = {}
    load = threading.Thread(target=lambda: report.update(fleet.load(
        "--arm", fleet.arm(), "--group", "lots", "--rate", "100", "--seconds", "8",
        "--history", fleet.path("callers.jsonl"))))
    load.start()
    time.sleep(3)
    for port in range(24000, 24006):
        http("POST", f"127.0.0.1:{port}", "/v1/stand-in", {"silence": True})
    load.join()
    arm = report["all"]
    check(arm["outcomes"] == {"complete": arm["sent"]},
          f"every search is complete: {arm['outcomes']}")
    check(arm["extra_percent"] <= 5.0, f"extra attempts: {arm['extra_percent']} %")
    check(arm["latency"]["p999_ms"] <= 500, f"p99.9 {arm['latency']['p999_ms']} ms")
    fleet.check_history(fleet.path("callers.jsonl"))


fleet_module.run_case(case, first_port=23520)
