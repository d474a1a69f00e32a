"""Orders that arrive late in the planned stop of an entry host are answered, or refused with the
promise that they were not run; none is passed on and then cut."""

import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import forward
from fleet import check, http, wait_for
from scripted_target import ScriptedTarget, response_with_record

GROUP = "counter"
WORK_S = 0.3
BODY = b"abcd"
# The entry hosts of the case stop within 6 s (shutdown_limit_ms).
ARRIVALS_S = [0.5 + 0.05 * i for i in range(112)]


class UnfinishedOrder:
    """An order of which the last byte is still to be sent."""

    def __init__(self, entry, number):
        self.id = f"{number:016x}"
        self.socket = socket.create_connection((entry, 8000), timeout=8)
        self.socket.sendall((f"POST /orders/{number} HTTP/1.1\r\nHost: counter.test\r\n"
                             f"Snipe-Request-Id: {self.id}\r\nSnipe-Deadline-Ms: 2000\r\n"
                             f"Content-Length: {len(BODY)}\r\n\r\n").encode() + BODY[:-1])

    def finish(self, at):
        """Sends the last byte at the time `at`; returns the status, or 0 without an answer."""
        time.sleep(max(0.0, at - time.monotonic()))
        response = b""
        try:
            self.socket.sendall(BODY[-1:])
            while chunk := self.socket.recv(65536):
                response += chunk
        except OSError:
            pass
        self.socket.close()
        head, _, body = response.partition(b"\r\n\r\n")
        length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n")
                       if line.lower().startswith(b"content-length:")), -1)
        return int(head.split(b" ")[1]) if len(body) == length else 0


def start_target(deployment, runs):
    """A target that takes WORK_S for each order and notes its id in `runs`."""
    def respond(request_id):
        runs.append(request_id)
        time.sleep(WORK_S)
        return response_with_record(request_id, GROUP)

    target = ScriptedTarget("counter", GROUP, deployment.zones[0], deployment.target_address,
                            20500, respond, slots=200)
    deployment.add_group(GROUP, max_connections=1000, kind="once", timeout_ms=3000,
                         objective_ms=1000)
    # The connections that the route allows decide how many orders run at once.
    wait_for("the entry host knows the route", lambda: http(
        "GET", f"{deployment.entries[0]}:8000", "/", headers={"Host": "counter.test"},
        timeout=1.0)[0] == 503, 10)
    target.keep_reporting(deployment.controls)


def case(deployment):
    runs = []
    start_target(deployment, runs)

    def warm_up():
        return forward.Call(deployment.entries[0], "counter.test", "/warm", "POST", "x").perform()

    wait_for("orders are answered", lambda: warm_up().status == 200, 10)
    orders = [UnfinishedOrder(deployment.entries[0], i) for i in range(len(ARRIVALS_S))]
    with ThreadPoolExecutor(len(orders)) as callers:
        # Teaches the host how long orders take.
        warm = list(callers.map(lambda _: warm_up().status, range(12)))
        check(set(warm) == {200}, f"orders are answered before the stop: {warm}")
        started = time.monotonic()
        deployment.processes["entry-1"].send(signal.SIGTERM)
        statuses = list(callers.map(
            lambda pair: pair[0].finish(started + pair[1]), zip(orders, ARRIVALS_S)))
    cut = [(round(at, 2), status) for order, at, status in zip(orders, ARRIVALS_S, statuses)
           if order.id in runs and status != 200]
    check(not cut, f"orders that ran are answered; not these (seconds, status): {cut}")
    answered = [at for at, status in zip(ARRIVALS_S, statuses) if status == 200]
    check(len(answered) >= len(ARRIVALS_S) // 2 and max(answered) >= 4.0,
          f"orders are taken while there is time: {len(answered)}, last at {max(answered):.2f} s")
    refused = [at for at, status in zip(ARRIVALS_S, statuses) if status == 503]
    check(refused and min(refused) > 3.0, "later ones are refused with 503")


forward.run_case(case, network=57)
