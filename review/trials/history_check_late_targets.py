"""testsuite.history_check with targets that start 0.9 s after the hosts are ready.

    review/trials/history_check_late_targets.py BIN [SECONDS]

The requests that come before the targets are refused, truthfully. The check then blames some of
them: both loads of the test draw their trace ids from the same seed, so that orders of the second
bear ids of searches of the first. Exits with 1 if the check fails, 0 if it passes."""

import os
import runpy
import sys
import threading

TESTSUITE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testsuite")
sys.path.insert(0, TESTSUITE)
import fleet  # noqa: E402

DELAY_S = float(sys.argv.pop(2)) if len(sys.argv) > 2 else 0.9
start_targets = fleet.Fleet.start_targets
wait_ready = fleet.Fleet.wait_ready


def wait_then_start_targets(self, seconds=20.0):
    elapsed = wait_ready(self, seconds)
    for zone in self.zones:
        threading.Timer(DELAY_S, start_targets, (self, zone)).start()
    return elapsed


fleet.Fleet.start_targets = lambda self, zone=None, **options: None
fleet.Fleet.wait_ready = wait_then_start_targets
runpy.run_path(os.path.join(TESTSUITE, "history_check", "run.py"))
