"""An order that a control host did not read while it was frozen is carried out when it wakes."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand  # noqa: E402

SERVICE = "plain"
ZONE = "zone-a"
EVACUATE_S = 5.0      # Bounds.EvacuateMs
STABILITY_S = 5.0     # Bounds.StabilityWindowMs
FREEZE_S = 3.5


def configuration(version):
    return {"Version": version,
            "Routes": [{"Name": "r", "Host": "plain.example", "PathPrefix": "/p/",
                        "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 200,
                        "Priority": 1, "Service": SERVICE, "MaxAttempts": 2}],
            "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 60,
                          "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


class Clients:
    """One request after the other at each entry machine."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.running = True
        self.threads = [threading.Thread(target=self._loop, args=(i,), daemon=True)
                        for i in range(len(deployment.fronts)) for _ in range(2)]
        for thread in self.threads:
            thread.start()

    def _loop(self, index):
        address, port = self.deployment.front(index)
        while self.running:
            identity = stand.request_id()
            status, _, _ = stand.call("GET", f"{address}:{port}", "/p/x", timeout=2.0, headers={
                "Host": "plain.example", "Request-Id": identity, "Deadline-Ms": "1500"})
            self.record(f"client: GET /p/x {identity} at front-{index}: {status}")
            time.sleep(0.1)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()


def case(record):
    deployment = stand.Deployment(cores=3, fronts=2)
    deployment.servers = [
        stand.Server(deployment, f"i-{zone}-{n}", SERVICE,
                     f"{deployment.net}.{200 + 2 * z + n}:20000", zone, record=record)
        for z, zone in enumerate(deployment.zones) for n in range(2)]
    operator = stand.Operator(deployment, record)
    clients = None
    try:
        deployment.start(configuration(1))
        leader = deployment.leader()
        followers = [i for i in range(3) if i != leader]
        frozen = followers[0]
        others = [i for i in range(3) if i != frozen]
        clients = Clients(deployment, record)
        time.sleep(2.0)
        operator.order("POST", f"/evacuation/{ZONE}/start", first=others[0])
        time.sleep(6.0)

        # The zone is taken back, and evacuated again shortly after.
        if stand.TROUBLE:
            record(f"core-{frozen} is frozen")
            deployment.programs[f"core-{frozen}"].send(signal.SIGSTOP)
        frozen_at = time.monotonic()
        time.sleep(0.3)
        operator.order("POST", f"/evacuation/{ZONE}/end", first=frozen)
        time.sleep(0.5)
        operator.order("POST", f"/evacuation/{ZONE}/start", first=others[1])
        acknowledged = time.monotonic()
        time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
        if stand.TROUBLE:
            record(f"core-{frozen} wakes")
            deployment.programs[f"core-{frozen}"].send(signal.SIGCONT)
        woke = time.monotonic()

        # From here on every machine is in touch, and the order is due.
        judged_from = max(acknowledged + EVACUATE_S, woke + STABILITY_S) + 0.5
        time.sleep(max(0.0, judged_from + 5.0 - time.monotonic()))
        judged_until = time.monotonic()
        clients.stop()
        clients = None
        late = [at for server in deployment.servers if server.zone == ZONE
                for at, _, _ in list(server.runs) if judged_from < at < judged_until]
        everywhere = sum(1 for server in deployment.servers for at, _, _ in list(server.runs)
                         if judged_from < at < judged_until)
        record(f"requests that ran in the last 5 s: {everywhere}, of them in {ZONE}: {len(late)}")
        if everywhere < 50:
            raise stand.CannotRun("the clients were not served")
        broken = []
        if late:
            broken.append(f"EVAC: {len(late)} requests reached servers of {ZONE} more than "
                          f"{EVACUATE_S:.0f} s after the acknowledgement, the first after "
                          f"{min(late) - acknowledged:.2f} s, the last after "
                          f"{max(late) - acknowledged:.2f} s; the evacuation was not taken back")
        return broken
    finally:
        if clients:
            clients.stop()
        deployment.stop()


stand.run(os.path.dirname(os.path.abspath(__file__)), case)
