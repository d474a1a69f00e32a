"""An operator of the soak who orders a zone to be evacuated and readmitted, in quick reversals, over
links that hold orders back and to hosts that are stopped; and cuts between control hosts."""

import json
import random
import socket
import time

from fleet import check, http, wait_for

PATIENCE_S = 1.0  # Then the order goes to another host.
IN_FORCE_S = 5.0  # After its acknowledgement.
CURRENT_S = 1.0  # A current host has what was acknowledged earlier than this.


class ZoneOperator:
    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"zone operator {soak.seed}")
        self.controls = soak.deployment.controls
        self.zone = soak.deployment.zones[-1]
        self.evacuated = False
        self.changed_at = 0.0  # When that was acknowledged.
        self.periods = []  # [acknowledged, readmission first ordered] of evacuations.

    def run(self):
        while time.time() < self.soak.end:
            held = self.hold_back_order() if self.random.random() < 0.4 else None
            self.reverse(self.soak.end)
            if held:
                time.sleep(self.random.uniform(0.05, 0.6))
                self.reverse(self.soak.end)
                self.deliver(held)
            self.dwell()

    def dwell(self):
        """Keeps the zone as it is for a while, at times for longer than an order takes to be in force."""
        long = self.evacuated and self.random.random() < 0.5
        end = time.time() + (self.random.uniform(6.0, 8.0) if long else
                             self.random.uniform(0.0, 1.5))
        while time.time() < min(end, self.soak.end):
            self.check_host(self.random.choice(self.controls))
            time.sleep(0.1)

    def order(self, address, evacuate):
        what = "evacuate" if evacuate else "readmit"
        status = http("POST", f"{address}:8000", f"/v1/zones/{self.zone}/{what}",
                      timeout=PATIENCE_S)[0]
        if status in (400, 409, 422):
            self.soak.fail(f"a valid order about a zone was refused with {status}")
        return status == 200

    def reverse(self, end):
        """Orders the opposite of what holds until that is acknowledged; gives up at `end`."""
        evacuate = not self.evacuated
        if not evacuate and self.periods and self.periods[-1][1] is None:
            self.periods[-1][1] = time.time()
        while time.time() < end:
            if self.order(self.random.choice(self.controls), evacuate):
                self.evacuated, self.changed_at = evacuate, time.time()
                self.soak.record_fault(f"{self.zone} is {'evacuated' if evacuate else 'readmitted'}")
                self.soak.count("orders about a zone")
                if evacuate:
                    self.periods.append([self.changed_at, None])
                return
            time.sleep(self.random.uniform(0.02, 0.2))

    def hold_back_order(self):
        """An order that a cut link holds back: the operator has given it up when this returns."""
        address = self.random.choice(self.controls)
        what = "readmit" if self.evacuated else "evacuate"
        try:
            connection = socket.create_connection((address, 8000), timeout=PATIENCE_S)
        except OSError:
            return None
        time.sleep(PATIENCE_S)
        return connection, (f"POST /v1/zones/{self.zone}/{what} HTTP/1.1\r\nHost: {address}\r\n"
                            "Content-Length: 0\r\n\r\n").encode()

    def deliver(self, held):
        connection, request = held
        time.sleep(self.random.uniform(0.0, 1.5))
        self.soak.record_fault(f"{request.split()[1].decode()} arrives late")
        self.soak.count("orders that arrive late")
        try:
            connection.sendall(request)
            if self.random.random() < 0.5:
                connection.settimeout(PATIENCE_S)
                connection.recv(4096)
        except OSError:
            pass
        connection.close()

    def check_host(self, address):
        """A control host that says that it is current has the newest acknowledged order."""
        asked = time.time()
        status, _, body = http("GET", f"{address}:8000", "/v1/status", timeout=0.5)
        if status != 200 or self.changed_at > asked - CURRENT_S:
            return
        document = json.loads(body)
        evacuated = self.zone in [entry["zone"] for entry in document["evacuated_zones"]]
        if document["current"]:
            self.soak.count("zones checked at a host")
            if evacuated != self.evacuated:
                self.soak.fail(f"{address} has {self.zone} evacuated: {evacuated}, "
                               f"{time.time() - self.changed_at:.1f} s after the opposite")

    def readmit(self):
        """Once all faults have ended: an order is acknowledged."""
        def readmitted():
            self.reverse(time.time() + 1.0)
            return not self.evacuated
        if not self.evacuated:
            self.reverse(time.time() + 15.0)
            check(self.evacuated, "an order is acknowledged after all faults")
        wait_for("the zone is readmitted", readmitted, 15.0)

    def check_targets(self):
        """Checks that targets of the zone ran nothing while an evacuation was in force."""
        checked_s = 0.0
        periods = [(start + IN_FORCE_S, end or time.time()) for start, end in self.periods]
        for start, end in periods:
            checked_s += max(0.0, end - start)
        self.soak.count("seconds of evacuations checked", round(checked_s, 1))
        for event in self.soak.log_events(f"targets-{self.zone}", ".history"):
            for start, end in periods:
                if event["event"] == "run" and start < event["time"] < end:
                    self.soak.fail(f"{event['target']} ran {event['request']} in {self.zone}, "
                                   f"{event['time'] - start + IN_FORCE_S:.2f} s after its evacuation")


class ControlCuts:
    """Cuts a control host off from messages of the others for a while, one after the other."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"control cuts {soak.seed}")
        self.cuts = set()  # (host that sends nothing, host that it sends nothing to)

    def run(self):
        while time.time() < self.soak.end:
            time.sleep(self.random.uniform(0.5, 2.5))
            victim = self.random.choice(self.soak.deployment.controls)
            # A disk that is lost and a host that is cut off are two losses.
            if self.cuts or self.soak.control_lacks_disk():
                continue
            self.soak.record_fault(f"{victim} is cut off")
            self.soak.count("fault: cut control")
            for address in self.soak.deployment.controls:
                if address != victim and self.set(address, victim, True):
                    self.cuts.add((address, victim))
            time.sleep(self.random.uniform(0.3, 2.5))
            # A host that is stopped at the end wakes only after this thread has ended.
            self.end(self.soak.end)

    def set(self, address, victim, cut):
        # A host that is stopped would read this when it wakes.
        return not self.soak.is_under_fault(address) and http(
            "POST", f"{address}:8000", "/v1/faults",
            {"address": f"{victim}:7000", "cut": cut}, timeout=0.5)[0] == 200

    def end(self, give_up):
        """Ends all cuts, or leaves those that are left at the time `give_up`."""
        while self.cuts and time.time() < give_up:
            self.cuts = {cut for cut in self.cuts if not self.set(*cut, False)}
            time.sleep(0.1)
        if not self.cuts:
            self.soak.record_fault("no control host is cut off")
