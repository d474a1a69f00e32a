"""Guards against an entry host that runs out of memory, or serves nobody, while many clients send
heads of very many short fields, send slowly, or stop half-way."""

import forward
import misbehaving
from misbehaving import CROWD, Crowd


def case(deployment):
    checks = misbehaving.ForwardChecks(deployment)
    for place_name, place, port in (("a route", misbehaving.ROUTE, 8000),
                                    ("no route", misbehaving.NO_ROUTE, 8000),
                                    ("readiness", misbehaving.READY, 8001)):
        fields = misbehaving.many_fields(place)
        checks.entry_host(f"very many short fields at {place_name}", lambda: [
            Crowd(checks.entry, port).send(CROWD, fields)])
        half = misbehaving.many_fields(place)[0][:-8]
        checks.entry_host(f"heads that stop half-way at {place_name}", lambda: [
            Crowd(checks.entry, port).send(CROWD, [half])])
        slow = [bytes([byte]) for byte in misbehaving.start_line(place, 1000)[:30]]
        checks.entry_host(f"heads that come slowly at {place_name}", lambda: [
            Crowd(checks.entry, port).send(CROWD, slow, pause_s=0.1)])
        slow = misbehaving.bodies(place, misbehaving.BODY_BYTES)["one piece"]
        slow = [slow[0][:-30]] + [b"x"] * 20
        checks.entry_host(f"bodies that come slowly at {place_name}", lambda: [
            Crowd(checks.entry, port).send(CROWD, slow, pause_s=0.1)])
    checks.finish()


forward.run_case(case, **misbehaving.options(70))
