"""Guards against hosts that run out of memory while clients send many requests on one connection
and do not read the responses, or read them slowly (6ad1366: 1,084 MB, never released)."""

import forward
import misbehaving
from misbehaving import Crowd

CROWD = 40
# 4 MB of requests for each client: their responses exceed the memory of the machine.
SENT_BYTES = 4 * 1024 * 1024


def pipelined(path, name):
    request = f"GET {path} HTTP/1.1\r\nHost: {name}\r\n\r\n".encode()
    return [request * (65536 // len(request))] * (SENT_BYTES // 65536)


def case(deployment):
    checks = misbehaving.ForwardChecks(deployment)

    def unread(address, port, path, name):
        return [Crowd(address, port).send(CROWD, pipelined(path, name), timeout_s=0.5)]

    def read_slowly(address, port, path, name):
        crowds = unread(address, port, path, name)
        crowds[0].read_slowly(3)
        return crowds

    for way, misbehave in (("not read", unread), ("read slowly", read_slowly)):
        for place, port, path, name in (("a route", 8000, "/x", "search.test"),
                                        ("no route", 8000, "/x", "none.test"),
                                        ("readiness", 8001, "/ready", "h"),
                                        ("metrics", 9000, "/metrics", "h")):
            checks.entry_host(f"responses {way} at {place}",
                              lambda: misbehave(checks.entry, port, path, name))
        for place, port, path in (("status", 8000, "/v1/status"), ("routing", 8000, "/v1/routing"),
                                  ("metrics", 9000, "/metrics")):
            checks.control_host(f"responses {way} at the control host's {place}",
                                lambda: misbehave(checks.control, port, path, "h"))
    checks.finish()


forward.run_case(case, **misbehaving.options(71))
