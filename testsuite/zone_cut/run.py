"""Availability zones that are partitioned from each other serve with their own targets, and
rejoin without a restart."""

import time

import fleet as fleet_module
from fleet import check, http, wait_for


def case(fleet):
    # Targets report only to the entry hosts of their own zone.
    addresses = {zone: [host["http"] for host in fleet.entry_hosts if host["zone"] == zone]
                 for zone in fleet.zones}
    for zone in fleet.zones:
        fleet.processes.pop(f"targets-{zone}").stop()
    all_entries = fleet.entries
    for zone in fleet.zones:
        fleet.entries = lambda zone=zone: addresses[zone]
        fleet.start_targets(zone)
    fleet.entries = all_entries
    wait_for("every host sees every target", lambda: all(
        sum(target["usable"] for target in fleet.status(i)["targets"]) == 8 for i in range(4)))

    def set_partition(cut):
        for host in fleet.entry_hosts + fleet.control_hosts:
            for other in fleet.entry_hosts + fleet.control_hosts:
                if host["zone"] != other["zone"]:
                    http("POST", host["http"], "/v1/faults",
                         {"address": other["peer"], "cut": cut})

    set_partition(True)
    time.sleep(4)
    for i in range(4):
        usable = sum(target["usable"] for target in fleet.status(i)["targets"])
        check(usable == 4, f"host {i} uses the targets of its own zone, not {usable}")
        status, _, answer = fleet.search("lots", f"cut {i}", entry=i)
        check(status == 200, f"host {i} answers, not {status}")
        coverage = answer["coverage"]
        check(coverage["documents_answered"] == coverage["documents_total"],
              f"each zone holds every part: {coverage}")
    # Control hosts 1 and 3 are in zone 1, host 2 is in zone 2.
    status, _, answer = http("POST", fleet.entries()[1], "/v1/groups/orders/actions",
                             {"query": "order"},
                             {"Snipe-Caller": "c", "Snipe-Deadline-Ms": "2000",
                              "Idempotency-Key": f"{int(time.time())}.zone-cut-1"})
    check(status == 503 and b'"ran":"no"' in answer,
          f"without a quorum the order is not run: {status} {answer}")
    fleet.ctl("settings", "set", fleet.settings_file, "--base", "1")
    wait_for("the change is in force in the zone with the quorum", lambda: all(
        fleet.status(i)["settings_version"] == 2 for i in (0, 2)), 2)
    check(all(fleet.status(i)["settings_version"] == 1 for i in (1, 3)),
          "the zone without a quorum keeps its version")
    set_partition(False)
    delay_s = wait_for("the zones have rejoined", lambda: all(
        sum(target["usable"] for target in fleet.status(i)["targets"]) == 8 and
        fleet.status(i)["settings_version"] == 2 for i in range(4)), 10)
    print(f"rejoined {delay_s:.1f} s after the partition ended")


fleet_module.run_case(case, first_port=23500, entries=4)
