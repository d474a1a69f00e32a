"""An evacuated zone gets no requests from the bound of the order to its end, over resends, a loss of
all processes together with the disk of the control host that acknowledged, and a restart of an entry
host; without a quorum no order is acknowledged.

Guards against an order that is acknowledged before a quorum has it, and against hosts that serve
after a restart before they know of it."""

import json
import shutil
import signal
import subprocess
import threading
import time

import forward
from fleet import check, http, wait_for
from forward import Call
from scripted_target import ScriptedTarget, response_with_record

GROUP = "trio"
ACKNOWLEDGE_S = 1.0  # Operators wait this long.
IN_FORCE_S = 5.0
CALLERS = 6
QUIET_S = 3.0


class Load:
    """Callers that send one request after the other to all entry hosts."""

    def __init__(self, entries):
        self.statuses = []
        self.running = True
        self.threads = [threading.Thread(target=self._call, args=(entries[i % len(entries)],),
                                         daemon=True)
                        for i in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def _call(self, entry):
        while self.running:
            self.statuses.append(Call(entry, f"{GROUP}.test", "/x").perform().status)
            time.sleep(0.02)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()


def case(deployment):
    def respond(request_id):
        time.sleep(0.005)
        return response_with_record(request_id, GROUP)

    targets = {zone: ScriptedTarget(f"t-{zone}", GROUP, zone, deployment.target_address, 20500 + i,
                                    respond)
               for i, zone in enumerate(deployment.zones)}
    zone = deployment.zones[0]  # Also that of the first entry host.
    arrivals = targets[zone].arrival_times
    deployment.add_group(GROUP, max_connections=60)
    for target in targets.values():
        target.keep_reporting(deployment.controls)
    control = deployment.controls

    def order(address, name, what):
        """Sends an order and returns the status. A host that does not run for a second, on a busy
        machine, is asked again."""
        for _ in range(3):
            started = time.monotonic()
            status = http("POST", f"{address}:8000", f"/v1/zones/{name}/{what}", timeout=2)[0]
            took_s = time.monotonic() - started
            if took_s < ACKNOWLEDGE_S:
                return status
            print(f"the answer to {what} took {took_s:.2f} s")
        check(False, f"{what} is answered in time")

    def evacuated_zones(address):
        return json.loads(http("GET", f"{address}:8000", "/v1/status")[2])["evacuated_zones"]

    def answered():
        return {Call(entry, f"{GROUP}.test", "/x").perform().status
                for entry in deployment.entries} == {200}

    def processes(prefix):
        return [process for name, process in sorted(deployment.processes.items())
                if name.startswith(prefix)]

    def check_quiet(since, text):
        late = [at - since for at in arrivals if at > since]
        check(not late, f"{text}: {len(late)} requests, the last after {max(late, default=0):.2f} s")

    wait_for("requests are answered", answered, 10)
    load = Load(deployment.entries)
    wait_for("the zone is used", lambda: len(arrivals) > 20, 10)

    # The order, and one more of it at another host.
    check(order(control[0], zone, "evacuate") == 200, "the order is acknowledged")
    acknowledged = time.monotonic()
    time.sleep(IN_FORCE_S)
    in_force_s = max((at - acknowledged for at in arrivals if at > acknowledged), default=0.0)
    print(f"last request {in_force_s * 1000:.0f} ms after the acknowledgement")
    in_force = time.monotonic()
    before = evacuated_zones(control[1])
    check([entry["zone"] for entry in before] == [zone], f"{before} are evacuated")
    check(order(control[1], zone, "evacuate") == 200, "a resend is acknowledged")
    check(evacuated_zones(control[1]) == before, "a resend changes nothing")
    for name, status in (("%0a", 400), ("a/b", 400), ("", 400), ("unknown", 200)):
        check(order(control[2], name, "evacuate") == status, f"an order for {name!r}: {status}")
    check(order(control[0], "unknown", "readmit") == 200, "the end for an unknown zone")
    time.sleep(QUIET_S)
    load.stop()
    failed = [status for status in load.statuses if status != 200]
    check(len(failed) * 100 <= len(load.statuses),
          f"{len(failed)} of {len(load.statuses)} requests are not answered: {set(failed)}")
    check_quiet(in_force, "while evacuated")
    metrics = http("GET", f"{deployment.entries[0]}:9000", "/metrics")[2].decode()
    check("snipeworks_zones_evacuated 1" in metrics, "the metrics of an entry host tell")
    listed = subprocess.run(
        [f"{deployment.programs}/snipectl", "--control", f"{control[0]}:7000", "zones"],
        capture_output=True, text=True, check=True).stdout
    check(f"{zone} evacuated since" in listed, f"snipectl lists the zone: {listed}")

    # Everything ends, with the disk of the host that acknowledged.
    everything = processes("control") + processes("entry")
    for process in everything:
        process.kill()
    shutil.rmtree(deployment.path("control-1"))
    for process in everything:
        process.restart()
    wait_for("every host serves again", answered, 20)
    load = Load(deployment.entries)
    time.sleep(QUIET_S)
    check_quiet(in_force, "after a loss of all processes and a disk")

    # An entry host of the zone starts again.
    deployment.processes["entry-1"].kill()
    deployment.processes["entry-1"].restart()
    wait_for("the host serves again", answered, 20)
    time.sleep(QUIET_S)
    load.stop()
    check_quiet(in_force, "after a restart of an entry host")

    # Without a quorum.
    for process in processes("control")[:2]:
        process.send(signal.SIGSTOP)
    check(order(control[2], zone, "readmit") == 503, "no quorum, no acknowledgement")
    time.sleep(1.5)
    check(order(control[2], zone, "readmit") == 503, "also after a while")
    for process in processes("control")[:2]:
        process.send(signal.SIGCONT)
    wait_for("a quorum is back", lambda: order(control[2], "unknown", "readmit") == 200, 10)

    # The zone that serves no one is named as the reason.
    for name in deployment.zones:
        check(order(control[1], name, "evacuate") == 200, f"{name} is evacuated")
    wait_for("no target is left", lambda: Call(
        deployment.entries[1], f"{GROUP}.test", "/x").perform().status == 503, IN_FORCE_S)
    call = Call(deployment.entries[1], f"{GROUP}.test", "/x").perform()
    check(call.status == 503, f"status {call.status} with all zones evacuated")

    def explained():
        return subprocess.run([f"{deployment.programs}/snipectl", "explain", call.id,
                               deployment.path("entry-2.log")],
                              capture_output=True, text=True, check=False).stdout
    wait_for("explain tells why", lambda: "evacuated" in explained().split("cause:")[-1], 5)

    # The end.
    readmitted = time.monotonic()
    for name in deployment.zones:
        check(order(control[2], name, "readmit") == 200, f"{name} is readmitted")
    wait_for("the zone is used again", lambda: answered() and any(
        at > readmitted for at in arrivals), IN_FORCE_S)
    wait_for("none is evacuated", lambda: all(evacuated_zones(address) == []
                                              for address in control), 2)
    for target in targets.values():
        target.close()


forward.run_case(case, network=66)
