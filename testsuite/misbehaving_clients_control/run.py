"""Guards against a control host that runs out of memory, or serves nobody, while clients misbehave
at its calls. Its bodies may have 8 MB."""

import forward
import misbehaving
from misbehaving import CROWD, Crowd

DOCUMENT_BYTES = 8 * 1024 * 1024
DOCUMENT_CROWD = 40  # 40 documents exceed the memory of the machine.


def case(deployment):
    checks = misbehaving.ForwardChecks(deployment)
    for place_name, place in (("reports", misbehaving.REPORT),
                              ("routing", ("POST", "/v1/routing/replace", "h")),
                              ("an unknown path", ("POST", "/none", "h"))):
        for form in ("one piece", "chunks", "far over the limit"):
            pieces = misbehaving.bodies(place, DOCUMENT_BYTES)[form]
            checks.control_host(f"{form} at {place_name}", lambda: [
                Crowd(checks.control, 8000).send(DOCUMENT_CROWD, pieces)])
        fields = misbehaving.many_fields(place, 16384)
        checks.control_host(f"very many short fields at {place_name}", lambda: [
            Crowd(checks.control, 8000).send(CROWD, fields)])
    pieces = misbehaving.bodies(misbehaving.REPORT, 512 * 1024)["one-byte chunks"]
    checks.control_host("one-byte chunks at reports", lambda: [
        Crowd(checks.control, 8000).send(CROWD // 5, pieces)])
    checks.control_host("bodies that come slowly at reports", lambda: [
        Crowd(checks.control, 8000).send(DOCUMENT_CROWD, [misbehaving.bodies(
            misbehaving.REPORT, DOCUMENT_BYTES)["one piece"][0][:-30]] + [b"x"] * 20, pause_s=0.1)])
    pieces = misbehaving.bodies(misbehaving.METRICS, 262144)["one piece"]
    checks.control_host("one piece at metrics", lambda: [
        Crowd(checks.control, 9000).send(CROWD, pieces)])
    checks.finish()


forward.run_case(case, **misbehaving.options(72))
