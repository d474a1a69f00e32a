"""A draining target gets no new request later than 3 s after it announces that it drains, even
if the connection between two entry hosts is cut."""

import json
import threading
import time

import fleet as fleet_module
from fleet import check, http


def last_run_start(fleet, target):
    last = 0
    for zone in fleet.zones:
        with open(fleet.path(f"targets-{zone}.history"), encoding="utf-8") as file:
            for line in file:
                event = json.loads(line)
                if event["target"] == target and event["event"] == "start":
                    last = max(last, event["at_us"] / 1e6)
    return last


def case(fleet):
    # The announcement may reach entry-1 first, which cannot pass it on to entry-2.
    http("POST", fleet.entries()[0], "/v1/faults",
         {"address": fleet.entry_hosts[1]["peer"], "cut": True})
    load = threading.Thread(target=lambda: fleet.load(
        "--arm", fleet.arm(), "--group", "lots", "--rate", "150", "--seconds", "8"))
    load.start()
    time.sleep(3)
    drain_sent = time.monotonic()
    status, _, _ = http("POST", "127.0.0.1:24000", "/v1/stand-in", {"drain": True})
    check(status == 200, "the stand-in target accepts the drain")
    load.join()
    delay_s = last_run_start(fleet, "lots-p0-r0") - drain_sent
    print(f"last new request {delay_s:.3f} s after the announcement")
    check(delay_s <= 3.0, f"new request {delay_s:.3f} s after the announcement")
    check(last_run_start(fleet, "lots-p0-r0") > 0, "the target ran requests before")


fleet_module.run_case(case, first_port=23020)
