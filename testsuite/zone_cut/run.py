"""Availability zones cut off from each other go on serving what they can, and join
again without a restart."""

import time

import fleet as fleet_module
from fleet import check, http, wait_for


def case(fleet):
    # Targets speak to the entry hosts of their own zone only.
    near = {zone: [one["http"] for one in fleet.entry_hosts if one["zone"] == zone]
            for zone in fleet.zones}
    for zone in fleet.zones:
        fleet.processes.pop(f"targets-{zone}").stop()
    everyone = fleet.entries
    for zone in fleet.zones:
        fleet.entries = lambda zone=zone: near[zone]
        fleet.start_targets(zone)
    fleet.entries = everyone
    wait_for("every host sees every target", lambda: all(
        sum(one["usable"] for one in fleet.status(i)["targets"]) == 8 for i in range(4)))

    def cut(is_cut):
        for one in fleet.entry_hosts + fleet.control_hosts:
            for other in fleet.entry_hosts + fleet.control_hosts:
                if one["zone"] != other["zone"]:
                    http("POST", one["http"], "/v1/faults",
                         {"address": other["peer"], "cut": is_cut})

    cut(True)
    time.sleep(4)
    for i in range(4):
        usable = sum(one["usable"] for one in fleet.status(i)["targets"])
        check(usable == 4, f"host {i} uses the targets of its own zone, not {usable}")
        status, _, answer = fleet.search("lots", f"cut {i}", entry=i)
        check(status == 200, f"host {i} answers, not {status}")
        coverage = answer["coverage"]
        check(coverage["documents_answered"] == coverage["documents_total"],
              f"each zone holds every part: {coverage}")
    # Control hosts 1 and 3 stand in zone 1, host 2 in zone 2.
    status, _, answer = http("POST", fleet.entries()[1], "/v1/groups/orders/actions",
                             {"query": "order"},
                             {"Snipe-Caller": "c", "Snipe-Deadline-Ms": "2000",
                              "Idempotency-Key": f"{int(time.time())}.zone-cut-1"})
    check(status == 503 and b'"ran":"no"' in answer, f"no quorum, not run: {status} {answer}")
    fleet.ctl("settings", "set", fleet.settings_file, "--base", "1")
    wait_for("the change is in force in the zone with the quorum", lambda: all(
        fleet.status(i)["settings_version"] == 2 for i in (0, 2)), 2)
    check(all(fleet.status(i)["settings_version"] == 1 for i in (1, 3)), "the cut zone keeps its own")
    cut(False)
    took = wait_for("the zones join again", lambda: all(
        sum(one["usable"] for one in fleet.status(i)["targets"]) == 8 and
        fleet.status(i)["settings_version"] == 2 for i in range(4)), 10)
    print(f"joined {took:.1f} s after the cut was mended")


fleet_module.run_case(case, first_port=23500, entries=4)
