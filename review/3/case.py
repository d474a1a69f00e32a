"""Bytes of a faulty server that are no response reach clients as their answer."""

import os
import random
import re
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import (  # noqa: E402
    FRONT_PORT, Server, Unable, configuration, route, run_case, run_clients)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 10
GARBLE_FROM_S, GARBLE_FOR_S = 2.0, 5.0
SERVERS, GARBLING_SERVERS = 5, 3  # A share of 0.6.
CLIENTS = 24
GARBLED_SHARE = 0.03  # Of the answers of a server that garbles.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [2-5][0-9][0-9] ")


class Garbling:
    """Leaves out the last digit of the status in some answers, for a time."""

    def __init__(self, deployment, seed):
        self.deployment, self.random = deployment, random.Random(seed)
        self.begin = None

    def __call__(self, server, request):
        active = self.begin and 0 <= time.monotonic() - self.begin < GARBLE_FOR_S
        if not active or self.random.random() >= GARBLED_SHARE:
            return None
        self.deployment.record("spoiled", server=server.id, id=request.id)
        return server.sound_answer(request).replace(b"HTTP/1.1 200 ", b"HTTP/1.1 20 ", 1)


def first_bytes(ip, request):
    """Sends a request on a new connection; returns what comes until a second of silence."""
    received = b""
    try:
        with socket.create_connection((ip, FRONT_PORT), timeout=1) as connection:
            connection.sendall(request)
            connection.settimeout(3)
            while b"\r\n\r\n" not in received:
                piece = connection.recv(65536)
                if not piece:
                    break
                received += piece
    except OSError:
        pass
    return received


def judge(deployment):
    deployment.start()
    time.sleep(2)
    ip = f"{deployment.network}.200"
    garblings = [Garbling(deployment, i) for i in range(GARBLING_SERVERS if TROUBLE else 0)]
    for i in range(SERVERS):
        Server(deployment, "orders", ip, 20000 + i, deployment.zones[i % 3], slots=4, work_s=0.02,
               respond=garblings[i] if i < len(garblings) else None)
    if not deployment.replace(configuration(1, ["orders"], [
            route("r", "/orders/", "orders", kind="non_idempotent", attempts=2)])):
        raise Unable("the configuration was not acknowledged")
    deployment.wait_ready()
    time.sleep(6)
    totals = {"requests": 0, "no_answer_in_the_protocol": 0}
    lock = threading.Lock()
    for garbling in garblings:
        garbling.begin = time.monotonic() + GARBLE_FROM_S

    def send(entry, request_id):
        received = first_bytes(entry.ip, (
            f"POST /orders/{request_id} HTTP/1.1\r\nHost: shop.example\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: 2000\r\nConnection: close\r\n"
            "Content-Length: 3\r\n\r\none").encode())
        with lock:
            totals["requests"] += 1
            if received and not STATUS_LINE.match(received):
                totals["no_answer_in_the_protocol"] += 1
                deployment.record("no_answer_in_the_protocol", id=request_id,
                                  received=received[:200])

    run_clients(deployment, CLIENTS, SECONDS, send, pause_s=0.02)
    deployment.record("verdict", **totals)
    return 1 if totals["no_answer_in_the_protocol"] > 0 else 0


if __name__ == "__main__":
    run_case(__file__, judge, entries=3)
