"""Targets that state a limit of requests get no more than it allows from all entry hosts together,
also after one of these has restarted; the limit ends with the first response that names none."""

import time
from concurrent.futures import ThreadPoolExecutor

import forward
from fleet import check, wait_for
from forward import Call
from scripted_target import ScriptedTarget, response_with_record

GROUP = "trio"
LIMIT_PER_S = 10
WINDOW_S = 4.0
# A target may get half more than its limit in a window, and five requests.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# Hosts learn of a limit with the responses to requests sent before.
GRACE_S = 4.0
CALLS_PER_S = 90


def most_arrivals(target, start, end):
    times = [at for at in sorted(target.arrival_times) if start <= at < end]
    return max((sum(1 for at in times if first <= at < first + WINDOW_S) for first in times),
               default=0)


def case(deployment):
    limits = {}

    def make_responder(name):
        def respond(request_id):
            limit = limits.get(name)
            return response_with_record(
                request_id, GROUP,
                extra_headers=f"Snipe-Request-Limit: {limit}\r\n" if limit is not None else "")
        return respond

    targets = [ScriptedTarget(f"t{i}", GROUP, zone, deployment.target_address, 20500 + i,
                              make_responder(f"t{i}"))
               for i, zone in enumerate(deployment.zones)]
    deployment.add_group(GROUP, max_connections=60)
    for target in targets:
        target.keep_reporting(deployment.controls)
    for entry in deployment.entries:
        wait_for("requests are answered",
                 lambda e=entry: Call(e, "trio.test", "/x").perform().status == 200, 10)

    def send_for(seconds, entries):
        """Sends at an even rate; returns the statuses."""
        start = time.monotonic()

        def send(i):
            time.sleep(max(0.0, start + i / CALLS_PER_S - time.monotonic()))
            return Call(entries[i % len(entries)], "trio.test", f"/{i}").perform().status

        with ThreadPoolExecutor(32) as callers:
            return list(callers.map(send, range(int(seconds * CALLS_PER_S))))

    check(set(send_for(2, deployment.entries)) == {200}, "requests are answered without limits")
    limits.update(t0=LIMIT_PER_S, t1=LIMIT_PER_S)
    limited = time.monotonic()
    check(set(send_for(10, deployment.entries)) == {200}, "the other target takes the rest")
    for target in targets[:2]:
        most = most_arrivals(target, limited + GRACE_S, time.monotonic())
        check(LIMIT_PER_S <= most <= ALLOWED, f"{most} requests in {WINDOW_S} s, {ALLOWED} allowed")

    deployment.processes["entry-1"].kill()
    send_for(1, deployment.entries[1:])
    deployment.processes["entry-1"].restart()
    wait_for("the restarted host answers", lambda: Call(
        deployment.entries[0], "trio.test", "/x").perform().status == 200, 20)
    restarted = time.monotonic()
    check(set(send_for(10, deployment.entries)) == {200}, "requests are answered after a restart")
    for target in targets[:2]:
        most = most_arrivals(target, restarted + GRACE_S, time.monotonic())
        check(most <= ALLOWED, f"{most} requests in {WINDOW_S} s after the restart")

    # The others have to take all requests now.
    limits.clear()
    limits.update(t2=0)
    send_for(GRACE_S, deployment.entries)
    ended = time.monotonic()
    check(set(send_for(WINDOW_S, deployment.entries)) == {200},
          "requests are answered after the limits have ended")
    end = time.monotonic()
    used = [most_arrivals(target, ended, end) for target in targets]
    check(sum(used[:2]) > 2 * ALLOWED, f"the targets are used again: {used}")
    check(used[2] <= 5, f"a target that takes nothing gets next to nothing: {used}")


forward.run_case(case, network=58)
