"""Non-repeatable requests run at most once while entry hosts, control hosts and targets
are killed and suspended and callers retry through other hosts."""

import random
import signal
import threading
import time

import fleet as fleet_module
from fleet import check


def inject_faults(fleet, rounds, rng):
    process_names = ["entry-1", "entry-2", "entry-3", "control-1", "control-2", "control-3",
                     "targets-zone-1", "targets-zone-2"]
    for _ in range(rounds):
        process = fleet.processes[rng.choice(process_names)]
        if rng.random() < 0.6:
            process.kill()
            time.sleep(rng.uniform(0.1, 0.8))
            process.restart()
        else:
            process.send(signal.SIGSTOP)
            time.sleep(rng.uniform(0.2, 2.0))
            process.send(signal.SIGCONT)
        time.sleep(rng.uniform(0.3, 1.0))


def case(fleet):
    seed = 20261204
    print(f"seed {seed}")
    report = {}
    load = threading.Thread(target=lambda: report.update(fleet.load(
        "--arm", fleet.arm(), "--group", "orders", "--rate", "60", "--seconds", "25",
        "--warm-up", "0", "--actions", "--history", fleet.path("callers.jsonl"))))
    load.start()
    time.sleep(1)
    inject_faults(fleet, 14, random.Random(seed))
    load.join()
    print(report["all"]["outcomes"])
    check(report["all"]["outcomes"].get("ran", 0) > 300, "most orders run despite the faults")
    fleet.check_history(fleet.path("callers.jsonl"))


fleet_module.run_case(case, first_port=23080)
