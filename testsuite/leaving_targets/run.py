"""Targets that announce in their responses that they leave, or refuse requests for a while,
get no further requests, also while control hosts are suspended or have lost their state."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import forward
from forward import Call
from fleet import check, wait_for
from scripted_target import ScriptedTarget, response_with_record

GROUP = "pair"
# Covers requests that were in flight when the announcement arrived.
IN_FLIGHT_S = 0.3
# More than the slots of one target, so that hosts use both targets if they may.
CALLERS = 8
WORK_S = 0.02


def case(deployment):
    leaving = {"old": False}
    retry_after_s = {"old": 0.0}

    def make_responder(name):
        def respond(request_id):
            time.sleep(WORK_S)
            if retry_after_s.get(name):
                return response_with_record(request_id, GROUP, "503 Busy",
                                            f"Retry-After: {retry_after_s[name]}\r\n")
            return response_with_record(
                request_id, GROUP,
                extra_headers="Snipe-Leaving: 1\r\n" if leaving.get(name) else "")
        return respond

    old, other = (ScriptedTarget(name, GROUP, deployment.zones[0], deployment.target_address,
                                 20500 + i, make_responder(name))
                  for i, name in enumerate(("old", "other")))
    deployment.add_group(GROUP, max_connections=30)
    for target in (old, other):
        target.keep_reporting(deployment.controls)

    callers = ThreadPoolExecutor(CALLERS)

    def send(entry, count=1):
        calls = callers.map(
            lambda _: Call(deployment.entries[entry], "pair.test", "/x").perform(), range(count))
        return [call.status for call in calls]

    def requests_sent(entry, target, count=40):
        before = len(target.arrival_times)
        check(set(send(entry, count)) == {200}, "every request is answered")
        return len(target.arrival_times) - before

    for entry in (0, 1):
        wait_for("both targets are used", lambda e=entry: send(e) == [200] and
                 requests_sent(e, old) > 0 and requests_sent(e, other) > 0, 10)

    # A target that refuses with Retry-After gets no requests from that host until the time has
    # passed, and is used again afterwards.
    for entry in (0, 1):
        retry_after_s["old"] = 1.5
        wait_for("the target has refused a request",
                 lambda e=entry: requests_sent(e, old, CALLERS) > 0, 10)
        refused = old.arrival_times[-1]
        retry_after_s["old"] = 0.0
        while time.monotonic() < refused + 1.4:
            check(set(send(entry, CALLERS)) == {200}, "the other target answers")
        late = [arrival for arrival in old.arrival_times if arrival > refused + 0.5]
        check(not late, f"{len(late)} requests before the time in Retry-After had passed")
        time.sleep(0.3)
        wait_for("the target is used again", lambda e=entry: requests_sent(e, old) > 0, 10)

    # The target leaves while all control hosts are suspended.
    for i in range(len(deployment.controls)):
        deployment.processes[f"control-{i + 1}"].send(signal.SIGSTOP)
    leaving["old"] = True
    wait_for("entry-1 has received the announcement",
             lambda: requests_sent(0, old, CALLERS) > 0, 5)
    time.sleep(IN_FLIGHT_S)
    check(requests_sent(0, old) == 0,
          "entry-1 stops using the target because of the response alone")
    for i in range(len(deployment.controls)):
        deployment.processes[f"control-{i + 1}"].send(signal.SIGCONT)
    # The other entry host learns of it indirectly: the target no longer announces it in its
    # responses.
    leaving["old"] = False
    wait_for("entry-2 knows that the target leaves", lambda: requests_sent(1, old) == 0, 5)
    check(requests_sent(1, old) == 0, "entry-2 does not use the leaving target")

    # All control hosts lose their state; a late report then arrives and an entry host restarts.
    for i in range(len(deployment.controls)):
        deployment.processes[f"control-{i + 1}"].kill()
    for i in range(len(deployment.controls)):
        deployment.processes[f"control-{i + 1}"].restart()
    wait_for("reports are accepted again", lambda: other.report(deployment.controls[0]) == 200, 15)
    time.sleep(2)
    check(old.report(deployment.controls[0]) == 200, "the late report is accepted")
    deployment.processes["entry-2"].kill()
    deployment.processes["entry-2"].restart()
    wait_for("the restarted entry host serves", lambda: send(1) == [200], 15)
    for entry in (0, 1):
        check(requests_sent(entry, old) == 0, f"entry-{entry + 1} uses a target that has left")

    # The target starts again under the same name, with a new incarnation.
    old.incarnation = int(time.time() * 1000)
    wait_for("the target is used again",
             lambda: requests_sent(0, old) > 0 and requests_sent(1, old) > 0, 10)
    callers.shutdown()
    for target in (old, other):
        target.close()


forward.run_case(case, network=44)
