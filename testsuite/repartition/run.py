"""Every search answer comes from a single snapshot while the index is repartitioned."""

import threading
import time

import fleet as fleet_module
from fleet import check, http


def snapshot(number, part_count, held_parts):
    return {"number": number, "digest": f"lots-{number}",
            "manifest": [{"part": part, "documents": 300 // part_count}
                         for part in range(part_count)],
            "parts": held_parts}


def case(fleet):
    report = {}
    load = threading.Thread(target=lambda: report.update(fleet.load(
        "--arm", fleet.arm(), "--group", "lots", "--rate", "150", "--seconds", "9",
        "--warm-up", "0", "--history", fleet.path("callers.jsonl"))))
    load.start()
    time.sleep(1.5)
    ports = range(24000, 24006)
    for number, parts in ((2, 6), (3, 2), (4, 3)):
        old = number - 1
        old_parts = {1: 3, 2: 6, 3: 2}[old]
        holds = lambda port, count: [part for part in range(count)
                                     if part % 3 == (port - 24000) // 2 or count < 3]
        # Each target first holds both snapshots; then the old one is removed.
        for port in ports:
            http("POST", f"127.0.0.1:{port}", "/v1/stand-in", {"snapshots": [
                snapshot(old, old_parts, holds(port, old_parts)),
                snapshot(number, parts, holds(port, parts))]})
            time.sleep(0.1)
        time.sleep(0.3)
        for port in ports:
            http("POST", f"127.0.0.1:{port}", "/v1/stand-in", {"snapshots": [
                snapshot(number, parts, holds(port, parts))]})
            time.sleep(0.05)
    load.join()
    arm = report["all"]
    check(arm["outcomes"].get("complete", 0) >= 0.99 * arm["sent"],
          f"at least 99% of the searches are complete: {arm['outcomes']}")
    fleet.check_history(fleet.path("callers.jsonl"))
    check(fleet.search("lots", "after")[2]["snapshot"] == 4, "the newest snapshot is used")


fleet_module.run_case(case, first_port=23580)
