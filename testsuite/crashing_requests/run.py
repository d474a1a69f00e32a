"""A request that ends each target which begins to run it, forwarded through any entry
host: it ends few of them, on all hosts, and innocent requests go on."""

import signal
import threading
import time

import forward
from forward import Call
from fleet import check, http, wait_for

CRASH = "crash-target"
# What a target that has ended takes to come back.
DOWN_S = 0.7
PAUSE_S = 0.25


class Supervisor:
    """Starts targets that have ended again, and counts how many did."""

    def __init__(self, deployment, names):
        self.deployment, self.names = deployment, names
        self.ended = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._watch)
        self.thread.start()

    def _watch(self):
        due = {}
        while not self.stopped.wait(0.02):
            for name in self.names:
                process = self.deployment.processes[name]
                if name not in due and not process.alive():
                    self.ended += 1
                    due[name] = time.monotonic() + DOWN_S
                elif name in due and time.monotonic() >= due[name]:
                    del due[name]
                    process.restart()

    def stop(self):
        self.stopped.set()
        self.thread.join()


class Innocents:
    """Callers that send requests of their own all the time, through all hosts."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.asked, self.refused, self.failed = 0, [], []
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self._ask, args=(i,)) for i in range(3)]
        for thread in self.threads:
            thread.start()

    def _ask(self, index):
        count = 0
        while not self.stopped.wait(0.02):
            count += 1
            host = ("search.test", "lookup.test")[count % 2]
            for again in range(3):  # Each time through another host.
                call = Call(self.deployment.entries[(index + count + again) % 3], host,
                            f"/innocent-{index}-{count}").perform()
                if b"quarantined" in call.response_body:
                    self.refused.append(call.target)
                if call.status == 200:
                    break
            else:
                self.failed.append((call.target, call.status))
            self.asked += 1

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def case(deployment):
    routes = deployment.routes(lookup={
        "host": "lookup.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
        "objective_ms": 400, "rank": 1, "group": deployment.groups[0], "max_attempts": 2})
    check(deployment.replace_routing(routes) == 200, "the routes are taken")
    for entry in deployment.entries:
        wait_for("the routes are in force",
                 lambda e=entry: Call(e, "lookup.test", "/known").perform().status == 200, 10)
    targets = [name for name in deployment.processes
               if not name.startswith(("control", "entry"))]
    supervisor = Supervisor(deployment, targets)
    innocents = Innocents(deployment)
    time.sleep(1.0)

    def send(host, path, entry, method="GET", body=None):
        call = Call(deployment.entries[entry], host, f"/{CRASH}-{path}", method, body).perform()
        check(call.status in (502, 503, 504), f"{path}: {call.status}")
        check(call.duration_s < 1.0, f"{path} was held for {call.duration_s:.2f} s")
        return call

    def ended_by(what, most, host, path, *request):
        """Sends a request that comes again and again; `most` targets may end."""
        before = supervisor.ended
        for i in range(12):
            last = send(host, path, i % 3, *request)
            time.sleep(PAUSE_S)
        time.sleep(DOWN_S)
        ended = supervisor.ended - before
        print(f"{what}: {ended} targets ended")
        check(ended <= most, f"{what}: {ended} targets ended")
        check(last.status == 503 and b"quarantined" in last.response_body, f"{what}: not refused")
        check(float(last.headers["Retry-After"]) > 0, "the refusal says when to come back")

    def refused(what, host, path, entry):
        before = supervisor.ended
        call = send(host, path, entry)
        check(call.status == 503 and b"quarantined" in call.response_body, f"{what}: not refused")
        time.sleep(0.2)
        check(supervisor.ended == before, f"{what}: a target has ended")

    try:
        ended_by("to one group", 2, "lookup.test", "lookup")
        # Its first attempts are on their way to all shards before any can tell.
        ended_by("over all shards", len(deployment.groups) + 1, "search.test", "search")
        ended_by("at most once", 2, "orders.test", "order", "POST", b"one")

        # A host that starts anew is told by control hosts.
        deployment.processes["entry-1"].kill()
        deployment.processes["entry-1"].restart()
        wait_for("entry-1 serves", lambda: Call(
            deployment.entries[0], "lookup.test", "/back").perform().status == 200, 15)
        refused("through a host that has started anew", "lookup.test", "lookup", 0)

        # Control hosts that have lost their memory are told by entry hosts.
        for i in range(len(deployment.controls)):
            deployment.processes[f"control-{i + 1}"].kill()
        for i in range(len(deployment.controls)):
            deployment.processes[f"control-{i + 1}"].restart()
        wait_for("control hosts are back",
                 lambda: deployment.read_routing(deployment.controls[0]), 15)
        time.sleep(2.5)
        deployment.processes["entry-2"].kill()
        deployment.processes["entry-2"].restart()
        wait_for("entry-2 serves", lambda: Call(
            deployment.entries[1], "lookup.test", "/back").perform().status == 200, 15)
        refused("after all control hosts have started anew", "lookup.test", "lookup", 1)

        # A host that did not run when the others found out.
        deployment.processes["entry-3"].send(signal.SIGSTOP)
        before = supervisor.ended
        for i in range(6):
            send("lookup.test", "frozen", i % 2)
            time.sleep(PAUSE_S)
        deployment.processes["entry-3"].send(signal.SIGCONT)
        time.sleep(1.0)
        refused("through a host that was frozen", "lookup.test", "frozen", 2)
        check(supervisor.ended - before <= 2, "two targets at most")
    finally:
        innocents.stop()
        supervisor.stop()
    print(f"{innocents.asked} innocent requests, {len(innocents.refused)} refused, "
          f"{len(innocents.failed)} failed")
    check(not innocents.refused, f"refused: {innocents.refused[:5]}")
    check(not innocents.failed, f"failed: {innocents.failed[:5]}")
    check(innocents.asked > 100, "innocent requests were sent")


forward.run_case(case, network=46, entries=3, crash_on=CRASH)
