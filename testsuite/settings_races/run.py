"""Operators who race with equal versions: one wins, the others get a conflict; a
resend gets its first answer; a frozen leader accepts nothing when it comes back."""

import json
import signal
import subprocess
import time

import fleet as fleet_module
from fleet import check, wait_for


def command(fleet, path, base, change_id):
    return [fleet.program("snipectl"), "--control",
            ",".join(one["peer"] for one in fleet.control_hosts),
            "settings", "set", path, "--base", str(base), "--change-id", change_id, "--json"]


def case(fleet):
    paths = []
    for i in range(6):
        paths.append(fleet.path(f"race-{i}.jsonc"))
        with open(paths[-1], "w", encoding="utf-8") as file:
            json.dump({"defaults": {"deadline_ms": 2000 + i}}, file)
    for base in range(1, 6):
        racers = [subprocess.Popen(command(fleet, path, base, f"r{base}-{i}"),
                                   stdout=subprocess.PIPE, stderr=subprocess.PIPE)
                  for i, path in enumerate(paths)]
        codes = [racer.wait(30) for racer in racers]
        check(codes.count(0) == 1 and codes.count(3) == 5,
              f"one winner and five conflicts, not {codes}")
        winner = codes.index(0)
        again = subprocess.run(command(fleet, paths[winner], base, f"r{base}-{winner}"),
                               capture_output=True, text=True, timeout=30, check=False)
        check(json.loads(again.stdout)["version"] == base + 1, "a resend gets its first answer")

    leader = next(i for i in range(3) if fleet.control_status(i)["role"] == "leader")
    name = fleet.control_hosts[leader]["host"]
    fleet.processes[name].send(signal.SIGSTOP)
    wait_for("another leader", lambda: any(
        (fleet.control_status(i) or {}).get("role") == "leader"
        for i in range(3) if i != leader), 10)
    fleet.ctl("settings", "set", paths[0], "--base", "6")
    fleet.processes[name].send(signal.SIGCONT)
    fleet.ctl("settings", "set", paths[1], "--base", "6", expect=3)
    wait_for("the frozen host catches up", lambda: (
        fleet.control_status(leader) or {}).get("settings_version") == 7, 5)
    time.sleep(1)
    check(all(fleet.status(i)["settings_version"] == 7 for i in range(3)),
          "every entry host has the accepted version")


fleet_module.run_case(case, first_port=23060)
