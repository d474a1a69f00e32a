"""An entry host and targets that receive SIGTERM finish the requests that they have accepted."""

import signal
import threading
import time

import fleet as fleet_module
from fleet import check


def case(fleet):
    report = {}
    load = threading.Thread(target=lambda: report.update(fleet.load(
        "--arm", fleet.arm(), "--group", "lots", "--rate", "150", "--seconds", "9",
        "--warm-up", "0", "--history", fleet.path("callers.jsonl"))))
    load.start()
    time.sleep(2)
    exit_code = fleet.processes["entry-1"].stop()
    check(exit_code == 0, f"entry-1 exits with 0, not {exit_code}")
    fleet.processes["targets-zone-2"].send(signal.SIGTERM)
    load.join()
    check(fleet.processes["targets-zone-2"].handle.wait(15) == 0, "targets exit with 0")
    arm = report["all"]
    check(arm["outcomes"] == {"complete": arm["sent"]},
          f"every search is complete: {arm['outcomes']}")
    fleet.check_history(fleet.path("callers.jsonl"))


fleet_module.run_case(case, first_port=23000)
