"""Disks of control hosts that are full one after another, never two at once, leave no trace: soon
after the last has room again, changes are accepted by every control host."""

import random
import resource
import sys
import threading
import time

import forward
from fleet import check, wait_for

SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
TURNS = int(sys.argv[3]) if len(sys.argv) > 3 else 9
# An order of the operator is acknowledged within this time on a stable system.
ACCEPT_S = 5.0
MANY_ROUTES = 150


def limit_files(process, limit):
    """No file of the process can grow beyond `limit` bytes; None lifts that."""
    pid = process.handle.pid
    _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard if limit is None else limit, hard))


def case(deployment):
    rng = random.Random(SEED)
    controls = [f"control-{i + 1}" for i in range(len(deployment.controls))]
    routes = deployment.routes(**{
        f"extra-{i}": {"host": f"extra-{i}.test", "path_prefix": "/", "kind": "repeatable",
                       "timeout_ms": 2000, "objective_ms": 200, "rank": 1,
                       "shards": deployment.groups, "max_attempts": 2, "top_records": 10,
                       "min_shard_share": 0.5} for i in range(MANY_ROUTES)})
    stop = threading.Event()
    accepted = []

    def change():
        i = 0
        while not stop.is_set():
            i += 1
            control = deployment.controls[i % len(deployment.controls)]
            if deployment.replace_routing(routes, control) == 200:
                accepted.append(deployment.version)
            stop.wait(0.05)

    operator = threading.Thread(target=change)
    operator.start()
    timeline = []
    try:
        for turn in range(TURNS):
            name = controls[turn % len(controls)]
            process = deployment.processes[name]
            if rng.random() < 0.3:
                # The host starts on a full disk.
                timeline.append(f"{time.time():.2f} {name} is killed")
                process.kill()
                process.restart()
            # Either nothing can be written, or a write fails in its middle.
            limit = rng.choice([0, 4096, 60000, 200000, 1000000])
            limit_files(process, limit)
            timeline.append(f"{time.time():.2f} {name} is full at {limit}")
            time.sleep(rng.uniform(1.2, 3.5))
            limit_files(process, None)
            timeline.append(f"{time.time():.2f} {name} has room, {len(accepted)} accepted")
            check(process.alive(), f"{name} runs on a full disk: {timeline}")
            time.sleep(rng.choice([0.0, 0.5, 3.0]))
    finally:
        stop.set()
        operator.join()
    check(accepted, "some changes are accepted meanwhile")
    for control in deployment.controls:
        took = wait_for(f"{control} accepts a change; {timeline}",
                        lambda c=control: deployment.replace_routing(routes, c) == 200, ACCEPT_S)
        print(f"{control} accepts after {took:.2f} s; {len(accepted)} were accepted meanwhile")
    newest = deployment.version
    wait_for("every control host returns the newest version", lambda: all(
        (deployment.read_routing(control) or {"version": -1})["version"] >= newest
        for control in deployment.controls), ACCEPT_S)


forward.run_case(case, network=58, entries=1)
