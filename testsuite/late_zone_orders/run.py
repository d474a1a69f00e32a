"""An order about a zone that reaches a control host late, after it was given up and another one was
acknowledged, changes nothing: the newest acknowledged order holds, for control hosts and targets.

Guards against orders that wait in the socket of a host that is stopped, on a link that is cut, in a
proxy, or on the way to the leader, and are carried out as new ones. Orders whose callers wait are
acknowledged, also by a host that stopped for a moment and on connections that stay open."""

import json
import signal
import socket
import threading
import time

import forward
from fleet import check, http, wait_for
from forward import Call
from scripted_target import ScriptedTarget, response_with_record

GROUP = "trio"
PATIENCE_S = 1.0  # For so long operators wait before they turn to another host.
STOP_S = 3.0
IN_FORCE_S = 5.0
SETTLE_S = 1.5


class Order:
    """One call of an operator on a connection of its own, which may be kept."""

    def __init__(self, control, zone, what, connection=None):
        self.request = (f"POST /v1/zones/{zone}/{what} HTTP/1.1\r\nHost: {control}\r\n"
                        "Content-Length: 0\r\n\r\n").encode()
        self.connection = connection or socket.create_connection((control, 8000), timeout=5)

    def send(self):
        self.connection.sendall(self.request)
        return self

    def status(self, patience_s=PATIENCE_S):
        """The status of the response; 0 if none comes in time."""
        self.connection.settimeout(patience_s)
        received = b""
        try:
            while b"\r\n\r\n" not in received:
                data = self.connection.recv(4096)
                if not data:
                    return 0
                received += data
        except OSError:
            return 0
        head, body = received.split(b"\r\n\r\n", 1)
        length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                      if line.lower().startswith(b"content-length:"))
        while len(body) < length:
            body += self.connection.recv(4096)
        return int(head.split()[1])

    def close(self):
        self.connection.close()


class Operator:
    def __init__(self, controls, zone):
        self.controls, self.zone = controls, zone
        self.slowest_s = 0.0

    def order(self, what, first=0, skip=()):
        """Sends an order, at first to one host, until it is acknowledged; returns the time."""
        end = time.monotonic() + 10
        while time.monotonic() < end:
            for i in range(first, first + len(self.controls)):
                if i % len(self.controls) in skip:
                    continue
                started = time.monotonic()
                order = Order(self.controls[i % len(self.controls)], self.zone, what).send()
                status = order.status()
                order.close()
                if status == 200:
                    self.slowest_s = max(self.slowest_s, time.monotonic() - started)
                    return time.monotonic()
                time.sleep(0.05)
        check(False, f"{what} is acknowledged")


def case(deployment):
    control = deployment.controls
    zone = deployment.zones[0]
    operator = Operator(control, zone)
    targets = [ScriptedTarget(f"t-{name}", GROUP, name, deployment.target_address, 20500 + i,
                              lambda request_id: response_with_record(request_id, GROUP))
               for i, name in enumerate(deployment.zones)]
    deployment.add_group(GROUP, max_connections=60)
    for target in targets:
        target.keep_reporting(control)
    callers = [threading.Thread(target=call_until, args=(deployment, targets), daemon=True)
               for _ in range(3)]
    for caller in callers:
        caller.start()
    wait_for("the zone is used", lambda: len(targets[0].arrival_times) > 20, 15)

    def process(i):
        return deployment.processes[f"control-{i + 1}"]

    def status_of(i):
        status, _, body = http("GET", f"{control[i]}:8000", "/v1/status", timeout=1)
        return json.loads(body) if status == 200 else {}

    def leader():
        leading = []

        def look():
            leading[:] = [i for i in range(len(control)) if status_of(i).get("role") == "leader"]
            return len(leading) == 1
        wait_for("one control host leads", look, 10)
        return leading[0]

    def settled():
        return all(status_of(i).get("current") for i in range(len(control)))

    def check_evacuated(text, acknowledged, targets_too=False):
        """The zone is and stays evacuated at all control hosts, and if asked for its targets."""
        end = time.monotonic() + SETTLE_S
        if targets_too:
            end = max(end, acknowledged + IN_FORCE_S + SETTLE_S)
        wait_for(f"{text}: hosts are current", settled, 10)
        while time.monotonic() < end:
            for i in range(len(control)):
                zones = [entry["zone"] for entry in status_of(i).get("evacuated_zones", [])]
                check(zones == [zone], f"{text}: control-{i + 1} has {zones} evacuated")
            time.sleep(0.1)
        late = [at - acknowledged for at in targets[0].arrival_times
                if at > acknowledged + IN_FORCE_S]
        check(not late, f"{text}: {len(late)} requests in the zone, the last after "
                        f"{max(late, default=0):.2f} s")
        print(f"{text}: held")

    def waits_in_a_socket(text, stopped, closes):
        """A host stops; an order to it is given up, and two are acknowledged elsewhere."""
        process(stopped).send(signal.SIGSTOP)
        stopped_at = time.monotonic()
        time.sleep(0.2)
        late = Order(control[stopped], zone, "readmit").send()
        check(late.status() == 0, f"{text}: a host that is stopped does not answer")
        if closes:
            late.close()
        operator.order("readmit", stopped + 1, skip=(stopped,))
        acknowledged = operator.order("evacuate", stopped + 2, skip=(stopped,))
        time.sleep(max(0.0, stopped_at + STOP_S - time.monotonic()))
        process(stopped).send(signal.SIGCONT)
        check_evacuated(text, acknowledged, targets_too=closes)
        late.close()

    operator.order("evacuate")
    for closes, how in ((True, ""), (False, ", the close of the caller is lost")):
        waits_in_a_socket(f"a follower is stopped{how}", (leader() + 1) % 3, closes)
        waits_in_a_socket(f"the leader is stopped{how}", leader(), closes)

    # The order is at a follower, its proposal in the socket of the leader.
    leading = leader()
    process(leading).send(signal.SIGSTOP)
    late = Order(control[(leading + 1) % 3], zone, "readmit").send()
    late.status()
    late.close()
    operator.order("readmit", leading + 2, skip=(leading,))
    acknowledged = operator.order("evacuate", leading + 1, skip=(leading,))
    time.sleep(1)
    process(leading).send(signal.SIGCONT)
    check_evacuated("a proposal waits at a stopped leader", acknowledged)

    # A link is cut after the connection was made, and delivers the order and the close later.
    for i, closes in ((leader(), True), ((leader() + 1) % 3, False)):
        late = Order(control[i], zone, "readmit")
        time.sleep(PATIENCE_S)
        operator.order("readmit", i + 1, skip=(i,))
        acknowledged = operator.order("evacuate", i + 2, skip=(i,))
        time.sleep(0.5)
        late.send()
        if not closes:
            check(late.status() == 503, "an order that may be old is turned away")
        late.close()
        check_evacuated(f"a link to control-{i + 1} held the order back", acknowledged,
                        targets_too=not closes)

    # A proxy on the way has taken the order, connects late, and has the close behind it.
    for i in (leader(), (leader() + 1) % 3):
        operator.order("readmit", i)
        acknowledged = operator.order("evacuate", i + 1)
        time.sleep(0.5)
        Order(control[i], zone, "readmit").send().close()
        check_evacuated(f"a proxy before control-{i + 1} held the order back", acknowledged)

    # Callers that wait. A host that stops for a moment answers in time.
    stopped = (leader() + 1) % 3
    process(stopped).send(signal.SIGSTOP)
    order = Order(control[stopped], zone, "readmit").send()
    time.sleep(0.5)
    process(stopped).send(signal.SIGCONT)
    check(order.status() == 200, "an order to a host that stopped for a moment is acknowledged")

    # One connection for an order and, much later, its opposite.
    for i in range(len(control)):
        kept = Order(control[i], zone, "evacuate").send()
        check(kept.status() == 200, "an order on a connection that is kept")
        time.sleep(PATIENCE_S + 0.5)
        kept = Order(control[i], zone, "readmit", kept.connection).send()
        check(kept.status() == 200, "its opposite on the same connection")
        kept.close()

    # A connection that was kept while other hosts took orders: at most one resend.
    kept = Order(control[0], "unknown", "readmit").send()
    check(kept.status() == 200, "an order on a connection that is kept")
    time.sleep(PATIENCE_S)
    operator.order("evacuate", 1)
    statuses = [Order(control[0], zone, "readmit", kept.connection).send().status()
                for _ in range(2)]
    check(statuses[-1] == 200, f"a resend on the same connection is acknowledged: {statuses}")
    kept.close()
    wait_for("the zone is used again", lambda: any(
        at > time.monotonic() - 0.5 for at in targets[0].arrival_times[-1:]), IN_FORCE_S)
    print(f"the slowest acknowledgement took {operator.slowest_s * 1000:.0f} ms")
    for target in targets:
        target.close()


def call_until(deployment, targets):
    """Sends one request after the other until the targets are closed."""
    count = 0
    while not targets[0].closed:
        count += 1
        Call(deployment.entries[count % 2], f"{GROUP}.test", "/x").perform()
        time.sleep(0.02)


forward.run_case(case, network=72)
