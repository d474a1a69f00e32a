"""The last of 500 settings changes is in force after all hosts are restarted, and no entry
host uses an older version in between."""

import json
import time

import fleet as fleet_module
from fleet import check, wait_for

CHANGES = 500


def case(fleet):
    settings = fleet.path("change.jsonc")
    started = time.monotonic()
    for version in range(1, CHANGES):
        with open(settings, "w", encoding="utf-8") as file:
            json.dump({"defaults": {"deadline_ms": 1000 + version}}, file)
        fleet.ctl("settings", "set", settings, "--base", str(version))
    print(f"{CHANGES - 1} changes in {time.monotonic() - started:.1f} s")
    delay_s = wait_for("the last change is in force everywhere", lambda: all(
        fleet.status(i).get("settings_version") == CHANGES for i in range(3)), 2.0)
    print(f"in force on every entry host {delay_s:.2f} s after its acceptance")

    names = [host["host"] for host in fleet.entry_hosts + fleet.control_hosts]
    for name in names:
        fleet.processes[name].kill()
    for name in names:
        fleet.processes[name].restart()
    seen = set()
    end = time.monotonic() + 20
    while time.monotonic() < end:
        versions = [fleet.status(i).get("settings_version", 0) for i in range(3)]
        seen.update(versions)
        if all(version == CHANGES for version in versions):
            break
        time.sleep(0.02)
    print(f"versions seen after the restart: {sorted(seen)}")
    check(seen <= {0, CHANGES}, f"an older version was in force: {sorted(seen)}")
    check(CHANGES in seen, "the accepted version is in force again")
    fleet.wait_ready()


fleet_module.run_case(case, first_port=23040)
