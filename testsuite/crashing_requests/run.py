"""A request that crashes every target that runs it is quarantined on all entry hosts after a
few crashes, through whichever host it is retried. Other requests continue to succeed."""

import signal
import threading
import time

import forward
from forward import Call
from fleet import check, http, wait_for

CRASH = "crash-target"
# Time until a crashed target is restarted.
RESTART_DELAY_S = 0.7
RETRY_INTERVAL_S = 0.25


class Supervisor:
    """Restarts crashed targets and counts the crashes."""

    def __init__(self, deployment, names):
        self.deployment, self.names = deployment, names
        self.crashes = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._watch)
        self.thread.start()

    def _watch(self):
        due = {}
        while not self.stopped.wait(0.02):
            for name in self.names:
                process = self.deployment.processes[name]
                if name not in due and not process.alive():
                    self.crashes += 1
                    due[name] = time.monotonic() + RESTART_DELAY_S
                elif name in due and time.monotonic() >= due[name]:
                    del due[name]
                    process.restart()

    def stop(self):
        self.stopped.set()
        self.thread.join()


class HarmlessCallers:
    """Callers that continuously send harmless requests through all entry hosts."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.sent, self.refused, self.failed = 0, [], []
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self._send, args=(i,)) for i in range(3)]
        for thread in self.threads:
            thread.start()

    def _send(self, index):
        count = 0
        while not self.stopped.wait(0.02):
            count += 1
            host = ("search.test", "lookup.test")[count % 2]
            for attempt in range(3):  # Each attempt uses another host.
                call = Call(self.deployment.entries[(index + count + attempt) % 3], host,
                            f"/innocent-{index}-{count}").perform()
                if b"quarantined" in call.response_body:
                    self.refused.append(call.target)
                if call.status == 200:
                    break
            else:
                self.failed.append((call.target, call.status))
            self.sent += 1

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def case(deployment):
    routes = deployment.routes(lookup={
        "host": "lookup.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
        "objective_ms": 400, "rank": 1, "group": deployment.groups[0], "max_attempts": 2})
    check(deployment.replace_routing(routes) == 200, "the routes are accepted")
    for entry in deployment.entries:
        wait_for("the routes are in force",
                 lambda e=entry: Call(e, "lookup.test", "/known").perform().status == 200, 10)
    targets = [name for name in deployment.processes
               if not name.startswith(("control", "entry"))]
    supervisor = Supervisor(deployment, targets)
    harmless = HarmlessCallers(deployment)
    time.sleep(1.0)

    def send(host, path, entry, method="GET", body=None):
        call = Call(deployment.entries[entry], host, f"/{CRASH}-{path}", method, body).perform()
        check(call.status in (502, 503, 504), f"{path}: {call.status}")
        check(call.duration_s < 1.0, f"{path} took {call.duration_s:.2f} s")
        return call

    def check_crashes(description, limit, host, path, *request):
        """Sends the same request repeatedly; at most `limit` targets may crash."""
        before = supervisor.crashes
        for i in range(12):
            last = send(host, path, i % 3, *request)
            time.sleep(RETRY_INTERVAL_S)
        time.sleep(RESTART_DELAY_S)
        crashes = supervisor.crashes - before
        print(f"{description}: {crashes} targets crashed")
        check(crashes <= limit, f"{description}: {crashes} targets crashed")
        check(last.status == 503 and b"quarantined" in last.response_body,
              f"{description}: not refused")
        check(float(last.headers["Retry-After"]) > 0, "the refusal says when to retry")

    def check_refused(description, host, path, entry):
        before = supervisor.crashes
        call = send(host, path, entry)
        check(call.status == 503 and b"quarantined" in call.response_body,
              f"{description}: not refused")
        time.sleep(0.2)
        check(supervisor.crashes == before, f"{description}: a target crashed")

    try:
        check_crashes("to one group", 2, "lookup.test", "lookup")
        # The first attempts are sent to all shards at once, before any crash is known.
        check_crashes("over all shards", len(deployment.groups) + 1, "search.test", "search")
        check_crashes("at most once", 2, "orders.test", "order", "POST", b"one")

        # A restarted entry host learns of the quarantine from the control hosts.
        deployment.processes["entry-1"].kill()
        deployment.processes["entry-1"].restart()
        wait_for("entry-1 serves", lambda: Call(
            deployment.entries[0], "lookup.test", "/back").perform().status == 200, 15)
        check_refused("through a restarted host", "lookup.test", "lookup", 0)

        # All control hosts lose their state in memory; entry hosts report the quarantine again.
        for i in range(len(deployment.controls)):
            deployment.processes[f"control-{i + 1}"].kill()
        for i in range(len(deployment.controls)):
            deployment.processes[f"control-{i + 1}"].restart()
        wait_for("control hosts are serving",
                 lambda: deployment.read_routing(deployment.controls[0]), 15)
        time.sleep(2.5)
        deployment.processes["entry-2"].kill()
        deployment.processes["entry-2"].restart()
        wait_for("entry-2 serves", lambda: Call(
            deployment.entries[1], "lookup.test", "/back").perform().status == 200, 15)
        check_refused("after a restart of all control hosts", "lookup.test", "lookup", 1)

        # An entry host that was suspended when the others quarantined the request.
        deployment.processes["entry-3"].send(signal.SIGSTOP)
        before = supervisor.crashes
        for i in range(6):
            send("lookup.test", "frozen", i % 2)
            time.sleep(RETRY_INTERVAL_S)
        deployment.processes["entry-3"].send(signal.SIGCONT)
        time.sleep(1.0)
        check_refused("through a host that was suspended", "lookup.test", "frozen", 2)
        check(supervisor.crashes - before <= 2, "at most two targets crash")
    finally:
        harmless.stop()
        supervisor.stop()
    print(f"{harmless.sent} harmless requests, {len(harmless.refused)} refused, "
          f"{len(harmless.failed)} failed")
    check(not harmless.refused, f"refused: {harmless.refused[:5]}")
    check(not harmless.failed, f"failed: {harmless.failed[:5]}")
    check(harmless.sent > 100, "harmless requests were sent")


forward.run_case(case, network=46, entries=3, crash_on=CRASH)
