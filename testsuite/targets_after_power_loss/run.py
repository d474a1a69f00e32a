"""After all control and entry hosts were killed, targets get requests before they report again.

Guards against searches that fail until all targets have reported: control hosts kept the targets in
memory only. A target that left before gets none."""

import time

import forward
from forward import Call
from fleet import check, wait_for
from scripted_target import ScriptedTarget, response_with_record

GROUP = "crew"
SAVE_MS = 100
REPORT_MS = 4000  # Five missed reports end a target, long after the end of this case.


def case(deployment):
    control = deployment.controls
    targets = {name: ScriptedTarget(name, GROUP, deployment.zones[0], deployment.target_address,
                                    20500 + i, lambda request_id: response_with_record(
                                        request_id, GROUP))
               for i, name in enumerate(("stays", "leaves"))}
    deployment.add_group(GROUP, max_connections=30)

    def search():
        return Call(deployment.entries[0], f"{GROUP}.test", "/x").perform().status

    for target in targets.values():
        check(target.report(control[0]) == 200, "the report is accepted")
    wait_for("the targets are used", lambda: search() == 200, 10)
    check(targets["leaves"].report(control[0], state="draining") == 200, "it leaves")
    time.sleep(10 * SAVE_MS / 1000)

    for process in deployment.processes.values():
        if process.name.startswith(("control", "entry")):
            process.kill()
            process.restart()
    reports = {name: target.sequence for name, target in targets.items()}
    arrivals = len(targets["leaves"].arrival_times)
    wait_for("the target is used", lambda: search() == 200, 10)
    check(search() == 200, "the target is still used")
    check(reports == {name: target.sequence for name, target in targets.items()}, "no new reports")
    check(len(targets["leaves"].arrival_times) == arrivals, "the target that left gets nothing")
    for target in targets.values():
        target.close()


forward.run_case(case, network=69, control_settings={
    "target_snapshot_interval_ms": SAVE_MS, "report_interval_ms": REPORT_MS})
