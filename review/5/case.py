"""After all processes have been killed, a server that had left is in use again.

TROUBLE=0 leaves out the kill; the server's last heartbeat comes late all the same."""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import (  # noqa: E402
    BOUNDS, CONTROL_PORT, FRONT_PORT, Server, Unable, call, configuration, route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S = 1.0
LATE_S = 5.0  # "A heartbeat may arrive seconds late."
JSON = {"Content-Type": "application/json"}


def judge(deployment):
    deployment.start()
    time.sleep(2)
    servers = [Server(deployment, "orders", f"{deployment.network}.200", 20000 + i, zone)
               for i, zone in enumerate(deployment.zones)]
    routes = [route("r", "/orders/", "orders")]
    if not deployment.replace(configuration(1, ["orders"], routes)):
        raise Unable("the first configuration was not acknowledged")
    deployment.wait_ready()
    time.sleep(6)

    leaving = servers[0]
    leaving.beating = False
    time.sleep(1.3)
    late = {"Service": "orders", "Address": f"{leaving.ip}:{leaving.port}", "Zone": leaving.zone,
            "Version": "v1", "Slots": 4, "State": "ready", "ColdRemainingMs": 0,
            "Sequence": leaving.sequence + 1, "born": leaving.born}
    sent = time.monotonic()
    status, _, _ = call(deployment.controls[0].ip, CONTROL_PORT, "POST",
                        f"/instances/{leaving.id}/deregister",
                        json.dumps({"Sequence": leaving.sequence + 2, "born": leaving.born}), JSON)
    if status != 200:
        raise Unable("the leave was not acknowledged")
    left = deployment.now()
    deployment.record("leave_acknowledged", server=leaving.id)
    if not deployment.replace(configuration(2, ["orders"], routes)):
        raise Unable("the second configuration was not acknowledged")
    if TROUBLE:
        for machine in deployment.machines:
            deployment.signal(machine, signal.SIGKILL)
        for machine in deployment.machines:
            machine.process.wait()
        time.sleep(DOWN_S)
        for machine in deployment.machines:
            deployment.launch(machine)
    back = deployment.now()
    deployment.wait_ready()

    def deliver():
        time.sleep(max(0, sent + LATE_S - time.monotonic()))
        status, _, _ = call(deployment.controls[1].ip, CONTROL_PORT, "POST",
                            f"/instances/{leaving.id}/heartbeat", json.dumps(late), JSON)
        deployment.record("late_heartbeat", server=leaving.id, status=status)

    threading.Thread(target=deliver).start()
    count = 0
    while deployment.now() < back + 16:
        count += 1
        entry = deployment.entries[count % len(deployment.entries)]
        call(entry.ip, FRONT_PORT, "GET", f"/orders/{count}", None,
             {"Host": "shop.example", "Request-Id": f"q{count:06d}", "Deadline-Ms": "1000"})
        time.sleep(0.02)
    # A final fault that takes most of the core: in touch after twice StabilityWindowMs.
    from_s = max(left + BOUNDS["DrainMs"] / 1000, back + 2 * BOUNDS["StabilityWindowMs"] / 1000)
    reached = [run for run in leaving.ran if run[0] > from_s]
    deployment.record("verdict", reached_the_server_that_left=len(reached))
    return 1 if reached else 0


if __name__ == "__main__":
    run_case(__file__, judge)
