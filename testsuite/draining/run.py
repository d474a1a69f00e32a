"""A leaving target gets no new work 3 s after its announcement, with one link cut."""

import json
import threading
import time

import fleet as fleet_module
from fleet import check, http


def last_start(fleet, target):
    last = 0
    for zone in fleet.zones:
        with open(fleet.path(f"targets-{zone}.history"), encoding="utf-8") as file:
            for line in file:
                event = json.loads(line)
                if event["target"] == target and event["event"] == "start":
                    last = max(last, event["at_us"] / 1e6)
    return last


def case(fleet):
    # The announcement can reach entry-1 first, and entry-1 cannot tell entry-2.
    http("POST", fleet.entries()[0], "/v1/faults",
         {"address": fleet.entry_hosts[1]["peer"], "cut": True})
    load = threading.Thread(target=lambda: fleet.load(
        "--arm", fleet.arm(), "--group", "lots", "--rate", "150", "--seconds", "8"))
    load.start()
    time.sleep(3)
    drained = time.monotonic()
    status, _, _ = http("POST", "127.0.0.1:24000", "/v1/stand-in", {"drain": True})
    check(status == 200, "the stand-in drains")
    load.join()
    late = last_start(fleet, "lots-p0-r0") - drained
    print(f"last new work {late:.3f} s after the announcement")
    check(late <= 3.0, f"new work {late:.3f} s after the announcement")
    check(last_start(fleet, "lots-p0-r0") > 0, "the target had work before")


fleet_module.run_case(case, first_port=23020)
