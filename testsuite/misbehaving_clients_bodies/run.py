"""Guards against an entry host that runs out of memory, or serves nobody, while many clients send
bodies that stop just short of their end or exceed the limit (6ad1366: 325 MB)."""

import forward
import misbehaving
from misbehaving import CROWD, Crowd


def case(deployment):
    checks = misbehaving.ForwardChecks(deployment)
    for place_name, place, port in (("a route", misbehaving.ROUTE, 8000),
                                    ("no route", misbehaving.NO_ROUTE, 8000),
                                    ("readiness", misbehaving.READY, 8001)):
        for form, pieces in misbehaving.bodies(place, misbehaving.BODY_BYTES).items():
            checks.entry_host(f"{form} at {place_name}", lambda: [
                Crowd(checks.entry, port).send(CROWD, pieces)])
    for place_name, place, port in (("metrics", misbehaving.METRICS, 9000),
                                    ("the relay", misbehaving.RELAY, 7000)):
        checks.entry_host(f"one piece at {place_name}", lambda: [Crowd(checks.entry, port).send(
            CROWD, misbehaving.bodies(place, misbehaving.BODY_BYTES)["one piece"])])
    checks.entry_host("one piece at a route, readiness and metrics at once", lambda: [
        Crowd(checks.entry, port).send(
            CROWD // 2, misbehaving.bodies(place, misbehaving.BODY_BYTES)["one piece"])
        for place, port in ((misbehaving.ROUTE, 8000), (misbehaving.READY, 8001),
                            (misbehaving.METRICS, 9000))])
    checks.finish()


forward.run_case(case, **misbehaving.options(69))
