"""Targets that say in their answers that they leave, or that they want to be left
alone: with control hosts that cannot be asked, and with ones that lost their memory."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import forward
from forward import Call
from fleet import check, wait_for
from scripted_target import ScriptedTarget, response_with_record

GROUP = "pair"
# What was on its way when the answer was passed on.
ON_ITS_WAY = 0.3
# More than one target's slots, so that hosts need both targets if they may use both.
CALLERS = 8
WORK_S = 0.02


def case(deployment):
    leaves = {"old": False}
    refuses = {"old": 0.0}

    def answer(name):
        def make(request_id):
            time.sleep(WORK_S)
            if refuses.get(name):
                return response_with_record(request_id, GROUP, "503 Busy",
                                            f"Retry-After: {refuses[name]}\r\n")
            return response_with_record(
                request_id, GROUP,
                extra_headers="Snipe-Leaving: 1\r\n" if leaves.get(name) else "")
        return make

    old, other = (ScriptedTarget(name, GROUP, deployment.zones[0], deployment.target_address,
                                 20500 + i, answer(name))
                  for i, name in enumerate(("old", "other")))
    routes = deployment.routes(pair={
        "host": "pair.test", "path_prefix": "/", "kind": "repeatable", "timeout_ms": 2000,
        "objective_ms": 200, "rank": 1, "group": GROUP, "max_attempts": 2})
    document = deployment.routing_document(routes)
    document["groups"].append({"name": GROUP, "max_connections": 30})
    from fleet import http
    check(http("POST", f"{deployment.controls[0]}:8000", "/v1/routing/replace", document,
               timeout=5.0)[0] == 200, "the route is taken")
    for target in (old, other):
        target.keep_reporting(deployment.controls)

    callers = ThreadPoolExecutor(CALLERS)

    def ask(entry, count=1):
        calls = callers.map(
            lambda _: Call(deployment.entries[entry], "pair.test", "/x").perform(), range(count))
        return [call.status for call in calls]

    def used_by(entry, target, count=40):
        before = len(target.arrival_times)
        check(set(ask(entry, count)) == {200}, "every request is answered")
        return len(target.arrival_times) - before

    for entry in (0, 1):
        wait_for("both targets are used", lambda e=entry: ask(e) == [200] and
                 used_by(e, old) > 0 and used_by(e, other) > 0, 10)

    # It wants nothing for a while from the host that it refused, and then it is used again.
    for entry in (0, 1):
        refuses["old"] = 1.5
        wait_for("it has refused", lambda e=entry: used_by(e, old, CALLERS) > 0, 10)
        refused = old.arrival_times[-1]
        refuses["old"] = 0.0
        while time.monotonic() < refused + 1.4:
            check(set(ask(entry, CALLERS)) == {200}, "the other target answers")
        late = [one for one in old.arrival_times if one > refused + 0.5]
        check(not late, f"{len(late)} requests within the time that it asked for")
        time.sleep(0.3)
        wait_for("it is used again", lambda e=entry: used_by(e, old) > 0, 10)

    # It leaves while no control host can be asked.
    for i in range(len(deployment.controls)):
        deployment.processes[f"control-{i + 1}"].send(signal.SIGSTOP)
    leaves["old"] = True
    wait_for("it has told entry-1", lambda: used_by(0, old, CALLERS) > 0, 5)
    time.sleep(ON_ITS_WAY)
    check(used_by(0, old) == 0, "entry-1 goes by the answer alone")
    for i in range(len(deployment.controls)):
        deployment.processes[f"control-{i + 1}"].send(signal.SIGCONT)
    # The other host hears of it, though its own answers would tell it as well.
    leaves["old"] = False
    wait_for("entry-2 has heard of it", lambda: used_by(1, old) == 0, 5)
    check(used_by(1, old) == 0, "entry-2 does not use it")

    # All control hosts lose what they know; an old report and a new host come after.
    for i in range(len(deployment.controls)):
        deployment.processes[f"control-{i + 1}"].kill()
    for i in range(len(deployment.controls)):
        deployment.processes[f"control-{i + 1}"].restart()
    wait_for("reports are taken again", lambda: other.report(deployment.controls[0]) == 200, 15)
    time.sleep(2)
    check(old.report(deployment.controls[0]) == 200, "the late report is taken")
    deployment.processes["entry-2"].kill()
    deployment.processes["entry-2"].restart()
    wait_for("the new host serves", lambda: ask(1) == [200], 15)
    for entry in (0, 1):
        check(used_by(entry, old) == 0, f"entry-{entry + 1} uses a target that has left")

    # It starts again under its name.
    old.incarnation = int(time.time() * 1000)
    wait_for("it is used again", lambda: used_by(0, old) > 0 and used_by(1, old) > 0, 10)
    callers.shutdown()
    for target in (old, other):
        target.close()


forward.run_case(case, network=44)
