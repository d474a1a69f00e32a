"""Guards against hosts whose descriptors are all taken by connections of clients that send nothing,
or half a head. The hosts have a tenth of the descriptors of a machine."""

import forward
import misbehaving
from misbehaving import Crowd

DESCRIPTORS = 4096 // 10
CROWD = 600


def case(deployment):
    checks = misbehaving.ForwardChecks(deployment)
    for form, pieces in (("connections that send nothing", []),
                         ("heads that stop half-way", [b"GET / HTTP/1.1\r\nHost: h"])):
        for place, port in (("callers", 8000), ("readiness", 8001), ("metrics", 9000)):
            checks.entry_host(f"{form} at {place}", lambda: [
                Crowd(checks.entry, port).send(CROWD, pieces)], DESCRIPTORS)
        for place, port in (("a control host", 8000), ("a control host's peer port", 7000)):
            checks.control_host(f"{form} at {place}", lambda: [
                Crowd(checks.control, port).send(CROWD, pieces)], DESCRIPTORS)
    checks.finish()


forward.run_case(case, **misbehaving.options(73))
