"""The connection limit of each target holds while entry hosts are restarted, suspended and
partitioned, and while connections stall."""

import json
import os
import signal
import threading
import time

import fleet as fleet_module
from fleet import check, http

CONNECTION_LIMIT = 12
PORTS = range(24100, 24106)


def case(fleet):
    report = {}
    load = threading.Thread(target=lambda: report.update(fleet.load(
        "--arm", fleet.arm(), "--group", "lots", "--rate", "120", "--seconds", "14",
        "--history", fleet.path("callers.jsonl"))))
    load.start()
    time.sleep(2)
    fleet.processes["entry-1"].kill()
    time.sleep(1)
    fleet.processes["entry-1"].restart()
    fleet.processes["entry-2"].send(signal.SIGSTOP)
    http("POST", fleet.entries()[2], "/v1/faults",
         {"address": fleet.entry_hosts[0]["peer"], "cut": True})
    time.sleep(3)
    for port in PORTS:
        http("POST", f"127.0.0.1:{port}", "/v1/stand-in", {"silence": True})
    time.sleep(2)
    fleet.processes["entry-2"].send(signal.SIGCONT)
    load.join()
    most = [json.loads(http("GET", f"127.0.0.1:{port}", "/healthz")[2])["connections_most"]
            for port in PORTS]
    print(f"most connections at once: {most}, limit {CONNECTION_LIMIT}")
    # One more connection is this test's own: it sends its requests to targets one at a time.
    check(max(most) <= CONNECTION_LIMIT + 1, f"over the limit of {CONNECTION_LIMIT}: {most}")
    check(report["all"]["complete"] >= 0.9 * report["all"]["sent"],
          f"most searches are complete: {report['all']['outcomes']}")
    fleet.check_history(fleet.path("callers.jsonl"))


fleet_module.run_case(
    case, first_port=23620,
    fleet_file=os.path.join(os.path.dirname(os.path.abspath(__file__)), "few.fleet.jsonc"))
