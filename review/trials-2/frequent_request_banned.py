"""All servers of a service crash together while they run the same, harmless request. The request is
then refused everywhere for a minute, though the servers are back after a few seconds."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand  # noqa: E402

DOWN_S = 4.5
STABILITY_S = 5.0  # Bounds.StabilityWindowMs
JUDGED_S = 20.0


def configuration(version):
    def route(name, path, service):
        return {"Name": name, "Host": "plain.example", "PathPrefix": path, "Kind": "idempotent",
                "TimeoutMs": 1500, "TargetLatencyMs": 400, "Priority": 1, "Service": service,
                "MaxAttempts": 2}
    routes = [route("first", "/first/", "service-1")]
    if version > 1:
        routes.append(route("later", "/later/", "service-2"))
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 60,
                          "Protocol": "h1", "Tls": False} for name in ("service-1", "service-2")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


class Clients:
    """`threads` clients of each entry machine that send the same request again and again."""

    def __init__(self, deployment, record, path, threads):
        self.deployment, self.record, self.path = deployment, record, path
        self.running = True
        self.answers = []  # (time sent, status)
        self.threads = [threading.Thread(target=self._loop, args=(i,), daemon=True)
                        for i in range(len(deployment.fronts)) for _ in range(threads)]
        for thread in self.threads:
            thread.start()

    def _loop(self, index):
        address, port = self.deployment.front(index)
        while self.running:
            identity, sent = stand.request_id(), time.monotonic()
            status, _, _ = stand.call(
                "GET", f"{address}:{port}", self.path, timeout=2.0,
                headers={"Host": "plain.example", "Request-Id": identity, "Deadline-Ms": "1500"})
            self.answers.append((sent, status))
            self.record(f"client: GET {self.path} {identity} at front-{index}: {status}")
            time.sleep(0.1)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def share(self, since, until):
        statuses = [status for sent, status in self.answers if since < sent < until]
        return sum(status == 200 for status in statuses), len(statuses)


def case(record):
    deployment = stand.Deployment(cores=3, fronts=2)
    deployment.servers = [
        stand.Server(deployment, f"i-{service}-{zone}", service,
                     f"{deployment.net}.{200 + z}:{20000 + s}", zone, record=record, work_s=0.06)
        for s, service in enumerate(("service-1", "service-2"))
        for z, zone in enumerate(deployment.zones)]
    operator = stand.Operator(deployment, record)
    clients = []
    try:
        deployment.start(configuration(1))
        operator.order("POST", "/config/replace", configuration(2))
        time.sleep(4.5)
        clients = [Clients(deployment, record, path, 4) for path in ("/first/a", "/later/a")]
        time.sleep(6.0)
        crashed = [server for server in deployment.servers if server.service == "service-2"]
        if stand.TROUBLE:
            record("all servers of service-2 crash")
            for server in crashed:
                server.crash()
            time.sleep(DOWN_S)
            for server in crashed:
                server.restart()
            record("all servers of service-2 are back")
        back = time.monotonic()
        since = back + STABILITY_S + 1.0
        time.sleep(max(0.0, since + JUDGED_S - time.monotonic()))
        until = time.monotonic()
        for each in clients:
            each.stop()
        first, later = (each.share(since, until) for each in clients)
        record(f"from {since - back:.0f} s after the servers are back, in {until - since:.0f} s: "
               f"first route {first[0]} of {first[1]} served, later route {later[0]} of {later[1]}")
        if first[1] < 20 or later[1] < 20 or first[0] * 2 < first[1]:
            raise stand.CannotRun("the first route was not served")
        broken = []
        if later[0] * first[1] * 4 < first[0] * later[1]:
            broken.append(f"CONFIG: in steady state {later[0]} of {later[1]} requests on the route "
                          f"that was added later are served, and {first[0]} of {first[1]} on the "
                          "first")
        return broken
    finally:
        for each in clients:
            each.stop()
        deployment.stop()


stand.run(os.path.dirname(os.path.abspath(__file__)), case)
