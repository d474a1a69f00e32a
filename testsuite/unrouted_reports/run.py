"""Reports for a group that no route names, with the addresses of targets in use, put none of these
out of use. Targets of a group that is routed later are used at once.

Guards against another writer whose reports took the addresses of all targets."""

import threading
import time

import forward
from fleet import check, http, wait_for
from forward import Call
from scripted_target import ScriptedTarget, response_with_record


def keep_reporting(deployment, stopped):
    """Reports the address of each target as one of the group `unrouted`, under a name of its own."""
    addresses = [(zone, f"{deployment.target_address}:{deployment.first_port + 20 * i + j}")
                 for i, zone in enumerate(deployment.zones)
                 for j in range(len(deployment.groups) + 1)]
    incarnation = int(time.time() * 1000)
    sequence = 0
    while not stopped.is_set():
        sequence += 1
        for i, (zone, address) in enumerate(addresses):
            control = deployment.controls[(i + sequence) % len(deployment.controls)]
            status = http("POST", f"{control}:8000", f"/v1/targets/unrouted-{i}/report", {
                "group": "unrouted", "address": address, "zone": zone, "version": "1", "slots": 1,
                "state": "serving", "cold_ms": 0, "sequence": sequence,
                "incarnation": incarnation}, timeout=1.0)[0]
            check(status == 200, f"the report for {address} gets {status}")
        stopped.wait(0.3)


def case(deployment):
    stopped = threading.Event()
    writer = threading.Thread(target=keep_reporting, args=(deployment, stopped), daemon=True)
    writer.start()
    time.sleep(1.5)
    for i in range(60):
        entry = deployment.entries[i % len(deployment.entries)]
        search = Call(entry, "search.test", f"/{i}").perform()
        check(search.status == 200 and search.missing == 0,
              f"search {i} gets {search.status} without {search.missing} shards")
        order = Call(entry, "orders.test", f"/{i}", "POST", b"one").perform()
        check(order.status == 200, f"order {i} gets {order.status}")
        time.sleep(0.03)
    stopped.set()
    writer.join()

    target = ScriptedTarget("late-0", "late", deployment.zones[0], deployment.target_address, 20500,
                            lambda request_id: response_with_record(request_id, "late"))
    check(target.report(deployment.controls[0]) == 200, "the report before the route is accepted")
    time.sleep(1.0)  # No report follows: the route alone makes the target usable.
    deployment.add_group("late", max_connections=30)
    for entry in deployment.entries:
        wait_for("the new group is served", lambda e=entry: Call(
            e, "late.test", "/x").perform().status == 200, 3)
    target.close()


forward.run_case(case, network=66)
