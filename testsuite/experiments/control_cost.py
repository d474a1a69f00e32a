"""Measures the cost of an idle fleet per entry host and control host: control_cost.py PROGRAMS

Prints CPU time, memory and peer bytes per second at several numbers of targets and entry
hosts, for docs/CAPACITY.md.
"""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import fleet as fleet_module  # noqa: E402
from fleet import http  # noqa: E402
from run import DEFAULT, cpu_seconds  # noqa: E402

MEASURE_SECONDS = 10


def resident_mb(process):
    with open(f"/proc/{process.handle.pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def peer_bytes(address):
    _, _, page = http("GET", address, "/metrics")
    return sum(float(line.split()[1]) for line in page.decode().splitlines()
               if line.startswith("snipeworks_peer_") and "_bytes " in line)


def measure(parts, entries):
    fleet_file = os.path.join(fleet_module.tempfile.gettempdir(), f"cost-{os.getpid()}.jsonc")
    with open(fleet_file, "w", encoding="utf-8") as file:
        json.dump({"zones": ["zone-1"], "first_port": 29000, "groups": [
            {"name": "g", "parts": parts, "replicas": 3, "slots": 3, "connections": 60}]}, file)
    fleet = fleet_module.Fleet(sys.argv[1], fleet_file, DEFAULT, entries=entries, controls=3,
                               first_port=28000)
    try:
        fleet.start()
        time.sleep(3)
        entry, control = fleet.processes["entry-1"], fleet.processes["control-1"]
        cpu = [cpu_seconds(entry), cpu_seconds(control)]
        sent = peer_bytes(fleet.entries()[0])
        time.sleep(MEASURE_SECONDS)
        sent = (peer_bytes(fleet.entries()[0]) - sent) / MEASURE_SECONDS
        used = [100 * (cpu_seconds(entry) - cpu[0]) / MEASURE_SECONDS,
                100 * (cpu_seconds(control) - cpu[1]) / MEASURE_SECONDS]
        print(f"targets={parts * 3} entry_hosts={entries} entry: cpu={used[0]:.1f}% "
              f"memory={resident_mb(entry):.0f}MB peer={sent / 1000:.1f}kB/s; "
              f"control: cpu={used[1]:.1f}% memory={resident_mb(control):.0f}MB", flush=True)
    finally:
        fleet.stop()
        fleet.remove()
        os.remove(fleet_file)


if __name__ == "__main__":
    for parts, entries in ((32, 8), (10, 4), (32, 4), (100, 4), (32, 2)):
        measure(parts, entries)
