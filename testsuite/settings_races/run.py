"""Of several concurrent settings changes with the same base version one is accepted and the
others get a conflict. A resent change gets its first result, and a leader that was suspended
accepts no change when it resumes."""

import json
import signal
import subprocess
import time

import fleet as fleet_module
from fleet import check, wait_for


def command(fleet, path, base, change_id):
    return [fleet.program("snipectl"), "--control",
            ",".join(host["peer"] for host in fleet.control_hosts),
            "settings", "set", path, "--base", str(base), "--change-id", change_id, "--json"]


def case(fleet):
    paths = []
    for i in range(6):
        paths.append(fleet.path(f"race-{i}.jsonc"))
        with open(paths[-1], "w", encoding="utf-8") as file:
            json.dump({"defaults": {"deadline_ms": 2000 + i}}, file)
    for base in range(1, 6):
        writers = [subprocess.Popen(command(fleet, path, base, f"r{base}-{i}"),
                                    stdout=subprocess.PIPE, stderr=subprocess.PIPE)
                   for i, path in enumerate(paths)]
        codes = [writer.wait(30) for writer in writers]
        check(codes.count(0) == 1 and codes.count(3) == 5,
              f"one winner and five conflicts, not {codes}")
        winner = codes.index(0)
        resent = subprocess.run(command(fleet, paths[winner], base, f"r{base}-{winner}"),
                                capture_output=True, text=True, timeout=30, check=False)
        check(json.loads(resent.stdout)["version"] == base + 1,
              "a resent change gets its first result")

    leader = next(i for i in range(3) if fleet.control_status(i)["role"] == "leader")
    name = fleet.control_hosts[leader]["host"]
    fleet.processes[name].send(signal.SIGSTOP)
    wait_for("another host is the leader", lambda: any(
        (fleet.control_status(i) or {}).get("role") == "leader"
        for i in range(3) if i != leader), 10)
    fleet.ctl("settings", "set", paths[0], "--base", "6")
    fleet.processes[name].send(signal.SIGCONT)
    fleet.ctl("settings", "set", paths[1], "--base", "6", expect=3)
    wait_for("the resumed host catches up", lambda: (
        fleet.control_status(leader) or {}).get("settings_version") == 7, 5)
    time.sleep(1)
    check(all(fleet.status(i)["settings_version"] == 7 for i in range(3)),
          "every entry host has the accepted version")


fleet_module.run_case(case, first_port=23060)
