"""A control host that lost its disk joins again, and a second host that fails right
after loses nothing; two blank disks of three elect nobody."""

import shutil
import time

import fleet as fleet_module
from fleet import check, wait_for


def lose_disk(fleet, index):
    name = fleet.control_hosts[index]["host"]
    fleet.processes[name].kill()
    shutil.rmtree(fleet.path(name + ".data"))


def restart(fleet, index):
    # Not as it was started: only the first start may make a cluster.
    fleet.start_control(index)


def role(fleet, index):
    return (fleet.control_status(index) or {}).get("role")


def case(fleet):
    for base in range(1, 6):
        fleet.ctl("settings", "set", fleet.settings_file, "--base", str(base))
    lost = next(i for i in range(3) if role(fleet, i) != "leader")
    lose_disk(fleet, lost)
    restart(fleet, lost)
    took = wait_for("the blank host votes again", lambda: fleet.voters() == 3 and (
        fleet.control_status(lost) or {}).get("settings_version") == 6)
    print(f"joined again after {took:.1f} s")
    leader = next(i for i in range(3) if role(fleet, i) == "leader")
    fleet.processes[fleet.control_hosts[leader]["host"]].kill()
    fleet.ctl("settings", "set", fleet.settings_file, "--base", "6")
    restart(fleet, leader)
    wait_for("three hosts vote", lambda: fleet.voters() == 3)

    lose_disk(fleet, 0)
    lose_disk(fleet, 1)
    restart(fleet, 0)
    restart(fleet, 1)
    time.sleep(4)
    roles = [role(fleet, i) for i in range(3)]
    check("leader" not in roles, f"two blank disks of three elect nobody: {roles}")
    done = fleet.ctl("settings", "set", fleet.settings_file, "--base", "7", expect=4)
    check("may have been accepted" in done.stderr, "the operator is told what is known")
    shown = fleet.ctl("settings", "show").stdout
    check("possibly old" in shown, "what is shown is marked as possibly old")


fleet_module.run_case(case, first_port=23540)
