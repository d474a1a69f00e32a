"""Requests are not delayed when the reader of an entry host's standard output stalls.

    python3 testsuite/log_reader/run.py BIN [SECONDS]

SECONDS (default 10) is how long the reader stalls.
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
PIPE_BYTES = 4096     # The smallest pipe; full after a few lines.
OBJECTIVE_S = 0.2     # The objective_ms of the route.


def metric_sum(address, name):
    connection = HTTPConnection(address, 9000, timeout=2.0)
    connection.request("GET", "/metrics")
    page = connection.getresponse().read().decode()
    connection.close()
    return sum(float(line.split()[-1]) for line in page.splitlines()
               if name in line and not line.startswith("#"))


def search_durations(entry, seconds):
    """Sorted durations of searches; each is followed by requests that are logged in full."""
    durations = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        call = Call(entry, "search.test", f"/q{len(durations)}").perform()
        check(call.status == 200, f"a search ended with {call.status}")
        durations.append(call.duration_s)
        for i in range(8):
            Call(entry, "nobody.test", f"/{'long-path/' * 20}{i}").perform()
    return sorted(durations)


def case(deployment):
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 10.0
    entry = deployment.entries[0]
    with_reader = search_durations(entry, min(5.0, seconds))

    process = deployment.processes["entry-1"]
    process.kill()
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, F_SETPIPE_SZ, PIPE_BYTES)
    process.handle = subprocess.Popen(process.command, stdout=write_end, stderr=subprocess.DEVNULL)
    os.close(write_end)
    wait_for("the entry host is ready again",
             lambda: http("GET", f"{entry}:8001", "/ready", timeout=1.0)[0] == 200, 20)
    wait_for("every shard answers", deployment.all_shards_answer, 20)
    stalled = search_durations(entry, seconds)

    dropped = metric_sum(entry, "log_lines_dropped")
    print(f"{len(with_reader)} searches with a reader, median "
          f"{with_reader[len(with_reader) // 2] * 1000:.1f} ms, "
          f"maximum {with_reader[-1] * 1000:.1f} ms; {len(stalled)} with a stalled reader, median "
          f"{stalled[len(stalled) // 2] * 1000:.1f} ms, maximum {stalled[-1] * 1000:.1f} ms; "
          f"{dropped:.0f} lines dropped")
    check(dropped > 0, "log lines were dropped because the pipe and the buffer were full")
    check(stalled[-1] <= OBJECTIVE_S, f"a search took {stalled[-1]:.3f} s")

    # The number of dropped lines is logged once the reader reads again.
    os.set_blocking(read_end, False)
    text = b""
    end = time.monotonic() + 10

    def whole_lines():
        return text[:text.rfind(b"\n") + 1].splitlines()

    while time.monotonic() < end and not any(
            b'"lines_dropped"' in line for line in whole_lines()):
        try:
            text += os.read(read_end, 1 << 20)
        except BlockingIOError:
            Call(entry, "nobody.test", "/").perform()
    notices = [json.loads(line) for line in whole_lines() if b'"lines_dropped"' in line]
    check(notices and notices[0]["lines"] > 0, "the log tells how many lines are missing")
    os.close(read_end)


forward.run_case(case, network=37, entries=1)
