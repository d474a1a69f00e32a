"""A target whose leave was acknowledged gets no requests after all processes have been killed and
the control host that acknowledged it has lost its disk.

Guards against late reports, which arrive after the restart and brought such targets back. Without a
quorum a leave is not acknowledged, and the target gets no requests all the same. Hundreds of targets
leave at once, each acknowledged within a second."""

import shutil
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import forward
from forward import Call
from fleet import check, http, wait_for
from scripted_target import ScriptedTarget, response_with_record

GROUP = "crew"
LEASE_S = 2.5  # Five missed reports.
ACKNOWLEDGE_S = 1.0  # Targets turn to another host then.
LEAVING_AT_ONCE = 300
CALLERS = 16
WORK_S = 0.02
DRAIN_S = 3.0  # After this time a target that leaves gets no requests.


def case(deployment):
    names = ("leaves", "drains", "unsure", "stays")

    def respond(request_id):
        time.sleep(WORK_S)
        return response_with_record(request_id, GROUP)

    targets = {name: ScriptedTarget(name, GROUP, deployment.zones[0], deployment.target_address,
                                    20500 + i, respond)
               for i, name in enumerate(names)}
    callers = ThreadPoolExecutor(CALLERS)
    deployment.add_group(GROUP, max_connections=30)
    control = deployment.controls

    def report_all():
        for name, target in targets.items():
            check(target.report(control[0]) == 200, f"the report of {name} is accepted")

    def search():
        """Sends as many requests at once as need all targets; returns their statuses."""
        return list(callers.map(lambda i: Call(
            deployment.entries[i % len(deployment.entries)], f"{GROUP}.test", "/x").perform().status,
            range(CALLERS)))

    def used(seconds):
        """The names of the targets that get requests within a time."""
        before = {name: len(target.arrival_times) for name, target in targets.items()}
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            search()
        return {name for name, target in targets.items()
                if len(target.arrival_times) > before[name]}

    def leave(address, name, body=None):
        started = time.monotonic()
        status = http("POST", f"{address}:8000", f"/v1/targets/{name}/leave", body, timeout=2)[0]
        took_s = time.monotonic() - started
        check(took_s < ACKNOWLEDGE_S, f"the answer to a leave took {took_s:.2f} s")
        return status

    def processes(prefix):
        return [process for name, process in sorted(deployment.processes.items())
                if name.startswith(prefix)]

    def kill_all(wiped):
        everything = processes("control") + processes("entry")
        for process in everything:
            process.kill()
        shutil.rmtree(deployment.path(wiped))
        for process in everything:
            process.restart()
        wait_for("every host serves again", lambda: (
            targets["stays"].report(control[1]) == 200 and set(search()) == {200}), 15)

    report_all()
    wait_for("all targets are used", lambda: used(0.3) == set(names), 10)

    # One reports that it drains, one leaves at once and names no start; then all processes are
    # killed. Reports that they had sent before arrive late, at each control host.
    check(targets["drains"].report(control[0], state="draining") == 200, "it is acknowledged")
    check(leave(control[0], "leaves") == 200, "the leave is acknowledged")
    kill_all(wiped="control-1")
    for address in control:
        for name in ("leaves", "drains"):
            wait_for("late reports are accepted", lambda a=address, n=name: targets[n].report(
                a, sequence=2) == 200, 10)
    report_unsure = targets["unsure"].report(control[2])
    check(report_unsure == 200 and targets["stays"].report(control[2]) == 200, "others are accepted")
    reached = used(LEASE_S / 2)
    check(reached == {"unsure", "stays"}, f"after a loss of all processes {reached} are used")

    # They start again under their names.
    for name in ("leaves", "drains"):
        targets[name].incarnation = int(time.time() * 1000)
    wait_for("the new starts are used", lambda: report_all() or used(0.2) == set(names), 10)

    # Without a quorum.
    for process in processes("control")[:2]:
        process.send(signal.SIGSTOP)
    check(leave(control[2], "unsure") == 503, "a leave without a quorum is not acknowledged")
    wait_for("the target is not used any more", lambda: "unsure" not in used(0.3), DRAIN_S)
    for process in processes("control")[:2]:
        process.send(signal.SIGCONT)
    wait_for("the leave is acknowledged", lambda: leave(control[2], "unsure") == 200, 5)

    with ThreadPoolExecutor(30) as pool:
        started = time.monotonic()
        statuses = list(pool.map(
            lambda i: leave(control[i % 3], f"many-{i}", {"incarnation": 1, "sequence": i}),
            range(LEAVING_AT_ONCE)))
        took_s = time.monotonic() - started
    check(statuses == [200] * LEAVING_AT_ONCE, "all leaves are acknowledged")
    print(f"{LEAVING_AT_ONCE} leaves in {took_s:.2f} s")
    callers.shutdown()
    for target in targets.values():
        target.close()


forward.run_case(case, network=63)
