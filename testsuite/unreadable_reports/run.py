"""Calls that hold bytes which are no text, in paths, bodies and headers, are refused or answered,
and end no process; the targets that are in use stay in use.

Guards against the end of a control host by a report whose target name, taken from the path, is not
UTF-8."""

import itertools
import json
import time

import fleet as fleet_module
import forward
from forward import Call
from fleet import check
from raw_http import raw_call

# Not UTF-8, an overlong form, a surrogate, a cut sequence, a control character of Latin-1.
NAMES = [b"i-\xff\xfe", b"\xc0\xaf", b"\xed\xa0\x80", b"a\xc3", b"\x85", b"\xf8\x88\x80\x80\x80"]
REPORT = {"group": "part-1", "address": "127.0.0.1:9", "zone": "zone-1", "version": "1",
          "slots": 1, "state": "serving", "cold_ms": 0, "sequence": 1, "incarnation": 1}


def odd_reports():
    """Bodies of reports with a field that is missing, no text, no address, or of another type."""
    for field in REPORT:
        yield json.dumps({name: value for name, value in REPORT.items() if name != field}).encode()
    for field, value in itertools.product(
            ("slots", "cold_ms", "sequence", "incarnation"), ("1", -1, True, [], None)):
        yield json.dumps({**REPORT, field: value}).encode()
    for value in (7, True, [], None):
        yield json.dumps({**REPORT, "version": value}).encode()
    for field, value in itertools.product(
            ("group", "address", "zone", "state"),
            ("\u0000", "a\r\nX: y", "127.0.0.1\u0000\r\nX: y:9", 7, [], {}, None, "")):
        yield json.dumps({**REPORT, field: value}).encode()
    for name in NAMES:
        yield json.dumps(REPORT).encode().replace(b"part-1", name)
        yield json.dumps(REPORT).encode().replace(b"127.0.0.1", name)


def check_refused(description, status):
    check(400 <= status < 500, f"{description} gets {status}")


def check_alive(deployment, started):
    for name, process in deployment.processes.items():
        check(process.alive() and process.handle.pid == started[name], f"{name} has ended")


def forwarding_case(deployment):
    started = {name: process.handle.pid for name, process in deployment.processes.items()}
    for control in deployment.controls:
        address = f"{control}:8000"
        for name in NAMES:
            body = json.dumps(REPORT).encode()
            for path in (b"/report", b"/leave"):
                check_refused(f"{path} of {name}",
                              raw_call(address, b"POST", b"/v1/targets/" + name + path, body))
            check_refused(f"GET of {name}", raw_call(address, b"GET", b"/v1/" + name))
        for body in odd_reports():
            check_refused(body, raw_call(address, b"POST", b"/v1/targets/odd/report", body))
        for body in (b"[]", b"{}", b'{"address":7}', b'{"address":"127.0.0.1:9","cut":7}', b"\xff"):
            check_refused(body, raw_call(address, b"POST", b"/v1/faults", body))
        check_refused("a routing document", raw_call(
            address, b"POST", b"/v1/routing/replace",
            b'{"version":99,"routes":[{"host":"\xff","path_prefix":"/"}]}'))
    for entry in deployment.entries:
        for name in NAMES:
            for path, headers in ((b"/" + name, b""), (b"/x?" + name, b""),
                                  (b"/x", b"Snipe-Request-Id: " + name + b"\r\n"),
                                  (b"/x", b"X-" + name + b": y\r\n")):
                status = raw_call(f"{entry}:8000", b"GET", path, headers=headers)
                check_refused(f"{path} {headers}", status)
    check_alive(deployment, started)
    call = Call(deployment.entries[0], "search.test", "/after").perform()
    check(call.status == 200 and call.missing == 0, "every shard answers afterwards")


def entry_case(fleet):
    started = {name: process.handle.pid for name, process in fleet.processes.items()}
    search = b'{"query":"q"}'
    for entry in fleet.entries():
        for field, value in itertools.product(
                ("target", "zone", "address", "group"), ("\u0000", "a\r\nX: y", "", 7, None)):
            announcement = {"target": "odd", "incarnation": 1, "sequence": 1, "zone": "zone-1",
                            "address": "127.0.0.1:9", "group": "lots", "state": "serving",
                            "slots": 1, "connections": 1, "snapshots": []}
            check_refused(f"{field} {value!r}", raw_call(
                entry, b"POST", b"/v1/announcements",
                json.dumps({**announcement, field: value}).encode()))
        for name in NAMES:
            check_refused(f"group {name}", raw_call(
                entry, b"POST", b"/v1/groups/" + name + b"/search", search))
            check_refused(f"key {name}", raw_call(
                entry, b"POST", b"/v1/groups/orders/actions", search,
                b"Snipe-Caller: c\r\nIdempotency-Key: %d.abcdefgh%s\r\n" % (
                    int(time.time()), name)))
            check_refused(f"path {name}", raw_call(entry, b"GET", b"/" + name))
            for header in (b"Snipe-Caller", b"traceparent"):
                check(raw_call(entry, b"POST", b"/v1/groups/lots/search", search,
                               header + b": " + name + b"\r\n") == 200, f"{header} {name}")
    check_alive(fleet, started)
    check(fleet_module.http("GET", fleet.entries()[0], "/v1/status")[0] == 200, "the status is read")
    # A label for each name that callers make up would exhaust memory.
    raw_call(fleet.entries()[0], b"POST", b"/v1/groups/made-up/actions", search,
             b"Snipe-Caller: c\r\nIdempotency-Key: %d.abcdefgh\r\n" % int(time.time()))
    metrics = fleet_module.http("GET", fleet.entries()[0], "/metrics")[2].decode()
    check("made-up" not in metrics, "a group that does not exist has no label")


forward.run_case(forwarding_case, network=61, entry_settings={"allow_faults": True},
                 control_settings={"allow_faults": True})
fleet_module.run_case(entry_case, first_port=23640)
