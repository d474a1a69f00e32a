"""A control host that was stopped, and is cut off from the others when it wakes, never says that it
is current while it lacks a version that was acknowledged meanwhile. One that is not cut off
acknowledges all leaves from the start.

Guards against messages of the leader that were queued in sockets during the stop and are taken for
contact with it, and against taking the time of a stop for a time without a quorum."""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import forward
from fleet import check, http, wait_for

ROUNDS = 3
STOP_S = 3.0
WATCH_S = 1.0  # Contact with a leader counts for less.
LEAVES = 40
LEAVE_INTERVAL_S = 0.01


def case(deployment):
    control = deployment.controls

    def status_of(i):
        for _ in range(5):  # A busy machine may not answer at once.
            status, _, body = http("GET", f"{control[i]}:8000", "/v1/status", timeout=1)
            if status == 200:
                return json.loads(body)
        check(False, f"control-{i + 1} answers")

    def set_cut(stopped, cut):
        for i, address in enumerate(control):
            if i != stopped:
                check(http("POST", f"{address}:8000", "/v1/faults", {
                    "address": f"{control[stopped]}:7000", "cut": cut})[0] == 200, "a cut is set")

    def all_current():
        statuses = [status_of(i) for i in range(len(control))]
        return all(status["current"] for status in statuses) and len(
            {status["commit"] for status in statuses}) == 1

    def followers():
        """Yields a follower in each round, when all hosts are current."""
        for i in range(ROUNDS):
            wait_for("all control hosts are current", all_current, 10)
            leader = next(i for i in range(len(control)) if status_of(i)["role"] == "leader")
            yield (leader + 1 + i % 2) % len(control), leader

    def leave(stopped, target):
        return http("POST", f"{control[stopped]}:8000", f"/v1/targets/{target}/leave",
                    {"incarnation": 1, "sequence": 1}, timeout=STOP_S + 2)[0]

    for stopped, leader in followers():
        process = deployment.processes[f"control-{stopped + 1}"]
        before = status_of(stopped)["commit"]
        process.send(signal.SIGSTOP)
        time.sleep(0.5)  # Some heartbeats are queued.
        set_cut(stopped, True)
        check(deployment.replace_routing(deployment.routes(), control[leader]) == 200,
              "a version is acknowledged")
        time.sleep(STOP_S)
        process.send(signal.SIGCONT)
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            status = status_of(stopped)
            check(status["commit"] == before, "the host lacks the version")
            check(not status["current"], "a host that lacks an acknowledged version is not current")
        set_cut(stopped, False)

    for stopped, _ in followers():
        process = deployment.processes[f"control-{stopped + 1}"]
        with ThreadPoolExecutor(LEAVES + 1) as pool:
            process.send(signal.SIGSTOP)
            waiting = pool.submit(leave, stopped, f"waits-{stopped}")
            time.sleep(STOP_S)
            process.send(signal.SIGCONT)
            leaves = []
            for i in range(LEAVES):
                leaves.append(pool.submit(leave, stopped, f"many-{stopped}-{i}"))
                time.sleep(LEAVE_INTERVAL_S)
            statuses = [future.result() for future in [waiting, *leaves]]
        check(statuses == [200] * (LEAVES + 1),
              f"a host that wakes acknowledges all leaves: {statuses}")
    wait_for("all control hosts are current", all_current, 10)


forward.run_case(case, network=73, control_settings={"allow_faults": True})
