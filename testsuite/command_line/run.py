"""Invalid files, options and requests are answered with a clear error."""

import json
import os
import socket
import subprocess
import time

import fleet as fleet_module
from fleet import check, http


def run(fleet, program, *arguments):
    result = subprocess.run([fleet.program(program)] + list(arguments), capture_output=True,
                            text=True, timeout=20, check=False)
    return result.returncode, result.stdout + result.stderr


def case(fleet):
    for program in ("snipe-entry", "snipe-control", "snipe-target", "snipe-load", "snipectl"):
        code, text = run(fleet, program, "--help")
        check(code == 0 and program in text, f"{program} --help")
        code, text = run(fleet, program, "--version")
        check(code == 0 and "snipeworks" in text, f"{program} --version")
        check(run(fleet, program, "--no-such-option")[0] == 2, f"{program} --no-such-option")
    bad = fleet.path("bad.jsonc")
    with open(bad, "w", encoding="utf-8") as file:
        file.write('{\n "host": "a",\n "zone": "z",\n "http": "nowhere:1"}')
    code, text = run(fleet, "snipe-entry", "--settings", bad, "--check")
    check(code == 2 and "line 4: http" in text, f"the error names the field and its line: {text}")
    with open(bad, "w", encoding="utf-8") as file:
        file.write('{"defaults": {\n "deadline": 5}}')
    code, text = run(fleet, "snipectl", "settings", "check", bad)
    check(code == 2 and "line 2: deadline: unknown setting" in text, text)
    check(fleet.ctl("exceptions", "add", "lots", "deadline_ms=9", expect=2).stderr.find(
        "--reason is needed") >= 0, "an exception needs a reason")
    fleet.ctl("exceptions", "add", "lots", "deadline_ms=900", "--reason", "a test")
    check("a test" in fleet.ctl("exceptions", "list").stdout, "the reason is kept")
    fleet.ctl("exceptions", "remove", "lots")
    check(run(fleet, "snipectl", "--control", "127.0.0.1:1", "settings", "show")[0] == 4,
          "exits with 4 if no host answers")

    address = fleet.entries()[0]
    path = "/v1/groups/lots/search"
    for body, headers, expected in (
            ({"query": ""}, {}, 400), ({"nothing": 1}, {}, 400), ([1], {}, 400),
            ({"query": "x" * 20000}, {}, 413), ({"query": "x", "limit": 0}, {}, 400),
            ({"query": "x", "colour": 1}, {}, 400),
            ({"query": "x"}, {"Snipe-Deadline-Ms": "soon"}, 400),
            ({"query": "x"}, {"Snipe-Deadline-Ms": "-5"}, 400),
            ({"query": "x"}, {"Snipe-Class": "royal"}, 400),
            ({"query": "x" * 2000000}, {}, 413)):
        status, headers, response = http("POST", address, path, body, headers)
        check(status == expected, f"{str(body)[:40]}: {status}, not {expected}")
        if headers["Content-Type"] == "application/problem+json":
            problem = json.loads(response)
            check(problem["ran"] == "no" and problem["detail"],
                  "the problem says why, and that the request was not run")
    check(http("GET", address, "/v1/nothing")[0] == 404, "unknown path")
    # A body that cannot be parsed fails the request and does not end the host.
    for path in ("/v1/faults", "/v1/quarantine/release", "/v1/announcements"):
        for body in ({"address": "127.0.0.1:1", "cut": "no"}, {"fingerprint": 7}, [1], "x", None):
            status = http("POST", address, path, body)[0]
            check(status in (200, 400, 404, 500), f"{path} {body}: {status}")
    check(fleet.search("lots", "after bad input")[0] == 200, "the host continues to serve")
    # A caller that stalls in the middle of a request delays no other caller.
    slow = socket.create_connection(tuple(address.split(":")))
    slow.sendall(b"POST /v1/groups/lots/search HTTP/1.1\r\nContent-Length: 50\r\n\r\n{")
    started = time.monotonic()
    check(fleet.search("lots", "beside a slow caller")[0] == 200, "other callers are served")
    check(time.monotonic() - started < 1.0, "other callers are not delayed")
    slow.close()

    log = fleet.path("events.log")
    with open(log, "w", encoding="utf-8") as file:
        file.write('{"time":2,"host":"e1","event":"request","request":"r1","outcome":"partial",'
                   '"missing":"g4:late"}\nnot an event\n'
                   '{"time":1,"host":"e1","event":"hedge_skipped","request":"r1","target":"t9",'
                   '"reason":"budget"}\n'
                   '{"time":1.5,"host":"e1","event":"target_changed","target":"t9",'
                   '"state":"gone"}\n'
                   '{"time":1.6,"host":"e1","event":"target_changed","target":"t8"}\n')
    code, text = run(fleet, "snipectl", "explain", "r1", log)
    lines = text.splitlines()
    check(code == 0 and len(lines) == 4 and "state=gone" in lines[1], text)
    check(lines[3] == "cause: partial; missing g4:late; no hedge beside t9: budget", text)
    with open(log, "w", encoding="utf-8") as file:
        for i, request in enumerate(("r3", "r3", "r4")):
            file.write(f'{{"time":{i},"host":"e{i}","event":"attempt","request":"{request}",'
                       f'"target":"t{i}","fingerprint":"77","outcome":"lost"}}\n')
        file.write('{"time":3,"host":"e1","event":"request","request":"r3","fingerprint":"77",'
                   '"outcome":"targets-failed"}\n')
    code, text = run(fleet, "snipectl", "explain", "r3", log)
    check("under other ids too: 3 targets ended" in text, text)
    code, text = run(fleet, "snipectl", "explain", "r2", log)
    check(code == 1 and "sampled out" in text, text)

    docs = os.path.join(os.path.dirname(fleet_module.__file__), "..", "docs")
    with open(os.path.join(docs, "settings.md"), encoding="utf-8") as file:
        reference = file.read()
    for line in fleet.ctl("settings", "reference").stdout.splitlines():
        check(line in reference, f"docs/settings.md lacks: {line}")

    _, _, page = http("GET", address, "/metrics")
    with open(os.path.join(docs, "metrics.md"), encoding="utf-8") as file:
        text = file.read()
    names = {line.split()[2] for line in page.decode().splitlines() if line.startswith("# TYPE")}
    missing = sorted(name for name in names if f"`{name}`" not in text)
    check(names and not missing, f"docs/metrics.md lacks {missing}")


fleet_module.run_case(case, first_port=23560)
