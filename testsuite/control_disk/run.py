"""A control host with an empty data folder rejoins, and no change is lost if a second host
fails right afterwards. With two empty data folders of three, no leader is elected."""

import shutil
import time

import fleet as fleet_module
from fleet import check, wait_for


def wipe_data_folder(fleet, index):
    name = fleet.control_hosts[index]["host"]
    fleet.processes[name].kill()
    shutil.rmtree(fleet.path(name + ".data"))


def restart(fleet, index):
    # Without --bootstrap: only the first start may found a cluster.
    fleet.start_control(index)


def role(fleet, index):
    return (fleet.control_status(index) or {}).get("role")


def case(fleet):
    for base in range(1, 6):
        fleet.ctl("settings", "set", fleet.settings_file, "--base", str(base))
    wiped = next(i for i in range(3) if role(fleet, i) != "leader")
    wipe_data_folder(fleet, wiped)
    restart(fleet, wiped)
    took = wait_for("the wiped host is a voter again", lambda: fleet.voters() == 3 and (
        fleet.control_status(wiped) or {}).get("settings_version") == 6)
    print(f"rejoined after {took:.1f} s")
    leader = next(i for i in range(3) if role(fleet, i) == "leader")
    fleet.processes[fleet.control_hosts[leader]["host"]].kill()
    fleet.ctl("settings", "set", fleet.settings_file, "--base", "6")
    restart(fleet, leader)
    wait_for("three hosts are voters", lambda: fleet.voters() == 3)

    wipe_data_folder(fleet, 0)
    wipe_data_folder(fleet, 1)
    restart(fleet, 0)
    restart(fleet, 1)
    time.sleep(4)
    roles = [role(fleet, i) for i in range(3)]
    check("leader" not in roles,
          f"no leader is elected with two empty data folders of three: {roles}")
    result = fleet.ctl("settings", "set", fleet.settings_file, "--base", "7", expect=4)
    check("may have been accepted" in result.stderr,
          "the operator is told that the outcome is unknown")
    shown = fleet.ctl("settings", "show").stdout
    check("possibly old" in shown, "settings read without a quorum are marked as possibly old")


fleet_module.run_case(case, first_port=23540)
