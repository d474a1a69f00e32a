"""A reader of an entry host's standard output that stops reading delays no request.

    python3 testsuite/log_reader/run.py BIN [SECONDS]

SECONDS (10) is how long it does not read.
"""

import fcntl
import json
import os
import subprocess
import sys
import time
from http.client import HTTPConnection

import forward
from forward import Call
from fleet import check, http, wait_for

F_SETPIPE_SZ = 1031
SMALLEST_PIPE = 4096  # Bytes; full after a few lines.
OBJECTIVE_S = 0.2     # As the route's objective_ms.


def metric(address, name):
    connection = HTTPConnection(address, 9000, timeout=2.0)
    connection.request("GET", "/metrics")
    page = connection.getresponse().read().decode()
    connection.close()
    return sum(float(line.split()[-1]) for line in page.splitlines()
               if name in line and not line.startswith("#"))


def searches(entry, seconds):
    """Latencies of searches; each is followed by requests that are logged in full."""
    took = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        call = Call(entry, "search.test", f"/q{len(took)}").perform()
        check(call.status == 200, f"a search ended with {call.status}")
        took.append(call.duration_s)
        for i in range(8):
            Call(entry, "nobody.test", f"/{'long-path/' * 20}{i}").perform()
    return sorted(took)


def case(deployment):
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 10.0
    entry = deployment.entries[0]
    read = searches(entry, min(5.0, seconds))

    process = deployment.processes["entry-1"]
    process.kill()
    here, there = os.pipe()
    fcntl.fcntl(there, F_SETPIPE_SZ, SMALLEST_PIPE)
    process.handle = subprocess.Popen(process.command, stdout=there, stderr=subprocess.DEVNULL)
    os.close(there)
    wait_for("it is ready again",
             lambda: http("GET", f"{entry}:8001", "/ready", timeout=1.0)[0] == 200, 20)
    wait_for("every part answers", deployment.all_shards_answer, 20)
    unread = searches(entry, seconds)

    dropped = metric(entry, "log_lines_dropped")
    print(f"{len(read)} searches read, median {read[len(read) // 2] * 1000:.1f} ms, "
          f"most {read[-1] * 1000:.1f} ms; {len(unread)} unread, median "
          f"{unread[len(unread) // 2] * 1000:.1f} ms, most {unread[-1] * 1000:.1f} ms; "
          f"{dropped:.0f} lines left out")
    check(dropped > 0, "the pipe and the buffer were full")
    check(unread[-1] <= OBJECTIVE_S, f"a search took {unread[-1]:.3f} s")

    # What was left out is told once the reader reads again.
    os.set_blocking(here, False)
    text = b""
    until = time.monotonic() + 10
    while b'"lines_dropped"' not in text and time.monotonic() < until:
        try:
            text += os.read(here, 1 << 20)
        except BlockingIOError:
            Call(entry, "nobody.test", "/").perform()
    told = [json.loads(line) for line in text.splitlines()[:-1] if b'"lines_dropped"' in line]
    check(told and told[0]["lines"] > 0, "the reader learns how many lines are missing")
    os.close(here)


forward.run_case(case, network=37, entries=1)
