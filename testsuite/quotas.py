"""Sends requests of customers with quotas, and counts what targets run of them."""

import json
import os
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection

from fleet import http

WINDOW_S = 5.0  # Of the bound of a quota.


class Sender:
    """Sends a customer's requests at an even rate, each to the next entry host."""

    def __init__(self, entries):
        self.entries = entries
        self.count = 0
        self.lock = threading.Lock()

    def send(self, customer, entry=None):
        """Returns the request's id, status and headers; no status if no host was reached."""
        with self.lock:
            self.count += 1
            number = self.count
        request_id = f"{os.getpid():08x}{number:08x}"
        try:
            connection = HTTPConnection(entry or self.entries[number % len(self.entries)], 8000,
                                        timeout=4)
            connection.request("GET", f"/{request_id}", headers={
                "Host": "quoted.test", "Snipe-Request-Id": request_id,
                "Authorization": f"Token key-{customer}"})
            response = connection.getresponse()
            response.read()
            connection.close()
            return request_id, response.status, dict(response.getheaders())
        except OSError:
            return request_id, None, {}

    def send_for(self, seconds, customer, per_s, entry=None):
        start = time.monotonic()

        def send(i):
            time.sleep(max(0.0, start + i / per_s - time.monotonic()))
            return self.send(customer, entry)

        with ThreadPoolExecutor(24) as callers:
            return list(callers.map(send, range(int(seconds * per_s))))


def most_in_window(times):
    times = sorted(times)
    return max((sum(1 for at in times if first <= at < first + WINDOW_S) for first in times),
               default=0)


def leader_status(deployment):
    for control in deployment.controls:
        try:
            status = json.loads(http("GET", f"{control}:8000", "/v1/status", timeout=1.0)[2])
        except (OSError, ValueError):
            continue
        if status.get("role") == "leader" and "quotas" in status:
            return status["quotas"]
    return None
