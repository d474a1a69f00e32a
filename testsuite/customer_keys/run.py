"""Customers are recognized by their keys: what targets and callers see of them, over open
connections, relayed requests, changes of keys, lost contact and frozen hosts. A key reaches no
target, no other host's messages and no log."""

import os
import re
import signal
import subprocess
import time
from http.client import HTTPConnection

import forward
from fleet import check, http, wait_for
from raw_http import raw_call
from scripted_target import ScriptedTarget, header_value, response_with_record

# A removed key must have no effect later than this after the acknowledgement.
IN_FORCE_S = 4.0
ARNO, BERTA = "secret-of-arno-5d41", "secret of berta/+=7d79"
UNKNOWN = "secret-unknown-9f86"
KEYS = [ARNO, BERTA, UNKNOWN]


def customer(name, *keys, **fields):
    return {"name": name, "keys": list(keys), **fields}


def replace(deployment, customers, expected=200):
    """Accepts a version with `customers`; returns the response's body."""
    def route(group, **fields):
        return {"host": f"{group}.test", "path_prefix": "/", "kind": "repeatable",
                "timeout_ms": 2000, "objective_ms": 200, "rank": 1, "group": group,
                "max_attempts": 2, **fields}
    document = deployment.routing_document(
        deployment.routes(closed=route("closed"), open=route("open", public=True)))
    document["groups"] += [{"name": name, "max_connections": 30} for name in ("closed", "open")]
    if customers is not None:
        document["customers"] = customers
    status, _, body = http("POST", f"{deployment.controls[0]}:8000", "/v1/routing/replace",
                           document, timeout=5.0)
    check(status == expected, f"the document is answered with {expected}: {status} {body}")
    return body


class Request:
    """One request with any headers; `customer` is what the target got, None if none ran it."""

    count = 0

    def __init__(self, heads, entry, host, *headers, connection=None):
        Request.count += 1
        self.id = f"{os.getpid():08x}{Request.count:08x}"
        kept = connection or HTTPConnection(entry, 8000, timeout=4)
        kept.putrequest("GET", f"/{self.id}", skip_host=True, skip_accept_encoding=True)
        for name, value in (("Host", host), ("Snipe-Request-Id", self.id), *headers):
            kept.putheader(name, value)
        kept.endheaders()
        response = kept.getresponse()
        self.body = response.read()
        self.status, self.headers = response.status, dict(response.getheaders())
        if connection is None:
            kept.close()
        self.head = heads.get(self.id)
        self.customer = header_value(self.head, "snipe-customer") if self.head else None


def token(key):
    return ("Authorization", f"Token {key}")


def metric(entry, name):
    _, _, body = http("GET", f"{entry}:9000", "/metrics", timeout=2.0)
    return float(re.search(rf"^{name} (\S+)$", body.decode(), re.M).group(1))


def case(deployment):
    heads = {}

    def answer(group):
        def respond(request_id, head):
            heads[request_id] = head
            return response_with_record(request_id, group)
        return respond

    targets = [ScriptedTarget(f"{group}-{i}", group, zone, deployment.target_address,
                              20500 + 10 * j + i, answer(group), with_head=True)
               for i, zone in enumerate(deployment.zones)
               for j, group in enumerate(("closed", "open"))]
    entries = deployment.entries

    def send(entry, host, *headers, connection=None):
        return Request(heads, entry, host, *headers, connection=connection)

    def status(host, *headers, entry=entries[0]):
        return send(entry, host, *headers).status

    def in_force(description, condition):
        took = wait_for(description, condition, IN_FORCE_S)
        print(f"{description}: {took:.2f} s")

    # Without customers: the authorization is passed on, a customer's name is not.
    replace(deployment, None)
    for target in targets:
        target.keep_reporting(deployment.controls)
    for entry in entries:
        for host in ("closed.test", "open.test"):
            wait_for("requests are answered",
                     lambda e=entry, h=host: status(h, entry=e) == 200, 10)
    plain = send(entries[0], "closed.test", token(ARNO), ("Snipe-Customer", "forged"))
    check(plain.status == 200 and plain.customer == "", "a caller cannot name a customer")
    check(header_value(plain.head, "authorization") == f"Token {ARNO}",
          "without customers the authorization is the target's")

    # Invalid documents change nothing, and the answer names no key.
    for customers in ([customer("a", ARNO), customer("b", ARNO)],
                      [customer("a", ARNO), customer("a")], [customer("", ARNO)],
                      [{"keys": [ARNO]}], [customer("a\r\nX: y", ARNO)],
                      [customer("a", ARNO + "\n")]):
        body = replace(deployment, customers, 400)
        check(ARNO.encode() not in body, f"the reason names no key: {body}")
    check(status("closed.test") == 200, "no document with customers is in force")

    # With customers.
    replace(deployment, [customer("arno", ARNO, rank=1), customer("berta", BERTA)])
    for entry in entries:
        in_force("requests need a key", lambda e=entry: status("closed.test", entry=e) == 401)
    for headers in ([token(ARNO)], [("AUTHORIZATION", f"tOKEN   {ARNO} \t")],
                    [token(ARNO), ("snipe-customer", "berta"), ("SNIPE-CUSTOMER", "forged")],
                    [token(ARNO), ("Connection", "Snipe-Customer, Authorization")]):
        known = send(entries[0], "closed.test", *headers)
        check(known.status == 200 and known.customer == "arno",
              f"{headers}: {known.status} {known.head}")
        check(known.head.lower().count(b"snipe-customer") == 1 and
              b"authorization" not in known.head.lower(), f"{headers}: {known.head}")
    check(send(entries[0], "closed.test", token(BERTA)).customer == "berta", "the other customer")
    for headers in ([], [token(UNKNOWN)], [token(ARNO), token(ARNO)], [token("")], [token(" ")],
                    [("Authorization", f"Bearer {ARNO}")], [("Authorization", ARNO)],
                    [token(ARNO.upper())]):
        refused = send(entries[0], "closed.test", *headers)
        check(refused.status == 401 and refused.head is None, f"{headers}: {refused.status}")
        check(refused.headers.get("WWW-Authenticate") == "Token", f"{refused.headers}")
        check(not any(key.encode() in refused.body for key in KEYS), f"{refused.body}")
    for fold in (b"Token\r\n ", b"\r\n Token ", b"Token \n\t"):
        folded = raw_call(f"{entries[0]}:8000", b"GET", b"/", host=b"Host: closed.test\r\n",
                          headers=b"Authorization: " + fold + ARNO.encode() + b"\r\n")
        check(folded == 400, f"a folded header: {folded}")
    check(raw_call(f"{entries[0]}:8000", b"POST", b"/", headers=(
        b"Host: closed.test\r\nTransfer-Encoding: chunked\r\n"), body=(
            b"0\r\nAuthorization: Token " + ARNO.encode() + b"\r\n\r\n"), host=b"",
        length=False) == 401, "a key in a trailer")

    # A public route serves all, and knows customers.
    for headers, name in (([], ""), ([token(UNKNOWN)], ""), ([("Authorization", "Basic x")], ""),
                          ([token(BERTA)], "berta"), ([token(ARNO), token(ARNO)], "")):
        public = send(entries[0], "open.test", *headers, ("Snipe-Customer", "forged"))
        check(public.status == 200 and public.customer == name, f"{headers}: {public.customer}")
        check(b"authorization" not in public.head.lower(), f"{headers}: {public.head}")

    # A request that another host runs carries the customer.
    def cut(kind):
        check(http("POST", f"{entries[0]}:9000", "/v1/faults", {"targets": kind},
                   timeout=2.0)[0] == 200, "the cut is simulated")
    cut("silent")
    for i in range(12):
        status("closed.test", token(ARNO))
    wait_for("the targets are lost", lambda: status("closed.test", token(ARNO)) and
             metric(entries[0], "snipeworks_targets_lost") == 1, 5)
    relayed_before = metric(entries[0], "snipeworks_requests_relayed")
    relayed = send(entries[0], "closed.test", token(ARNO))
    check(relayed.status == 200 and relayed.customer == "arno" and
          b"authorization" not in relayed.head.lower(), f"{relayed.status} {relayed.head}")
    check(metric(entries[0], "snipeworks_requests_relayed") > relayed_before, "it was relayed")
    check(status("closed.test", token(UNKNOWN)) == 401, "a host without targets knows the keys")
    cut("none")
    wait_for("the targets are back", lambda: status("closed.test", token(ARNO)) and
             metric(entries[0], "snipeworks_targets_lost") == 0, 5)

    # A key moves and is removed while a connection stays open.
    kept = HTTPConnection(entries[1], 8000, timeout=4)
    check(send(entries[1], "closed.test", token(ARNO), connection=kept).customer == "arno", "kept")
    replace(deployment, [customer("arno"), customer("berta", BERTA, ARNO)])
    in_force("a key has moved", lambda: send(
        entries[1], "closed.test", token(ARNO), connection=kept).customer == "berta")
    replace(deployment, [customer("arno"), customer("berta", BERTA)])
    in_force("a key is removed", lambda: send(
        entries[1], "closed.test", token(ARNO), connection=kept).status == 401)
    kept.close()

    # A host that was frozen while a key was removed does not run requests with it.
    replace(deployment, [customer("berta", BERTA, ARNO)])
    in_force("a key is back", lambda: status("closed.test", token(ARNO), entry=entries[1]) == 200)
    frozen = HTTPConnection(entries[1], 8000, timeout=10)
    check(send(entries[1], "closed.test", token(ARNO), connection=frozen).status == 200, "before")
    deployment.processes["entry-2"].send(signal.SIGSTOP)
    replace(deployment, [customer("berta", BERTA)])
    time.sleep(IN_FORCE_S + 0.5)
    frozen.putrequest("GET", "/frozen", skip_host=True)
    for name, value in (("Host", "closed.test"), ("Snipe-Request-Id", "f" * 16), token(ARNO)):
        frozen.putheader(name, value)
    frozen.endheaders()
    deployment.processes["entry-2"].send(signal.SIGCONT)
    first = frozen.getresponse()
    check(first.status in (401, 503) and "f" * 16 not in heads, f"resumed: {first.status}")
    frozen.close()
    wait_for("the removed key is unknown", lambda: status(
        "closed.test", token(ARNO), entry=entries[1]) == 401, 2)
    wait_for("other keys are known", lambda: status(
        "closed.test", token(BERTA), entry=entries[1]) == 200, 2)

    # A host without contact serves by what it knows, and cannot say that a key is invalid.
    controls = [deployment.processes[f"control-{i + 1}"] for i in range(len(deployment.controls))]
    for control in controls:
        control.send(signal.SIGSTOP)
    wait_for("contact is lost", lambda: status("closed.test", token(UNKNOWN)) == 503, 4)
    unconfirmed = send(entries[0], "closed.test", token(UNKNOWN))
    check(unconfirmed.status == 503 and "Retry-After" in unconfirmed.headers and
          unconfirmed.head is None, f"{unconfirmed.status} {unconfirmed.headers}")
    check(send(entries[0], "closed.test", token(BERTA)).customer == "berta", "a known key")
    check(send(entries[0], "open.test").status == 200, "a public route")
    for control in controls:
        control.send(signal.SIGCONT)
    wait_for("contact is regained", lambda: status("closed.test", token(UNKNOWN)) == 401, 10)

    # Without customers again.
    refused = send(entries[0], "closed.test", token(UNKNOWN))
    check(refused.status == 401, "refused")
    counted = {name: metric(entries[0], f"snipeworks_{name}") for name in (
        "requests_unauthenticated", "requests_key_unconfirmed", "customers")}
    check(all(counted.values()) and counted["customers"] == 1, f"refusals are counted: {counted}")
    pages = b"".join(http("GET", f"{address}:9000", "/metrics")[2]
                     for address in entries + deployment.controls)
    replace(deployment, [])
    in_force("no key is needed", lambda: status("closed.test") == 200)

    # The logs name the reason, and no key is in them.
    time.sleep(1.0)
    logs = [deployment.path(f"{name}.log") for name in deployment.processes]
    explained = subprocess.run(
        [os.path.join(deployment.programs, "snipectl"), "explain", refused.id] + logs,
        capture_output=True, check=True).stdout.decode()
    check("cause: refused before any target was chosen: unauthenticated: the key is unknown"
          in explained, explained)
    for key in KEYS:
        check(key.encode() not in pages, "a key is in the metrics")
        for path in logs:
            with open(path, "rb") as file:
                check(key.encode() not in file.read(), f"{key} is in {path}")


forward.run_case(case, network=66, entries=3, entry_settings={"allow_faults": True})
