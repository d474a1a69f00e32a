"""Guards against a snipe-entry that runs out of memory, or serves nobody, among clients that stop
short of the end of a body, send very many short fields, or do not read their responses."""

import fleet as fleet_module
import misbehaving
from fleet import wait_for
from misbehaving import Crowd

MAX_BODY_BYTES = 1024 * 1024
BODY_CROWD = 200  # 200 bodies of 1 MB exceed the memory of the machine.
PORT = 23700


def case(fleet):
    checks = misbehaving.Checks()

    def served():
        return fleet.search("lots", "q", timeout=3)[0] == 200

    def run(form, misbehave):
        checks.run(form, fleet.processes["entry-1"],
                   lambda: wait_for("the host serves", served, 20), misbehave, served,
                   misbehaving.ENTRY_MB)

    for place_name, place in (("a search", ("POST", "/v1/groups/lots/search", "h")),
                              ("an unknown path", ("POST", "/none", "h"))):
        for form in ("one piece", "small pieces", "chunks", "far over the limit"):
            pieces = misbehaving.bodies(place, MAX_BODY_BYTES)[form]
            run(f"{form} at {place_name}", lambda: [
                Crowd("127.0.0.1", PORT).send(BODY_CROWD, pieces)])
        pieces = misbehaving.bodies(place, MAX_BODY_BYTES // 4)["one-byte chunks"]
        run(f"one-byte chunks at {place_name}", lambda: [
            Crowd("127.0.0.1", PORT).send(BODY_CROWD, pieces)])
        fields = misbehaving.many_fields(place, 16384)
        run(f"very many short fields at {place_name}", lambda: [
            Crowd("127.0.0.1", PORT).send(misbehaving.CROWD, fields)])
    request = b"GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n"
    run("responses not read", lambda: [
        Crowd("127.0.0.1", PORT).send(40, [request * 1800] * 64, timeout_s=0.5)])
    checks.finish()


fleet_module.run_case(case, first_port=PORT, entries=1, controls=0,
                      host_settings=misbehaving.ENTRY_SETTINGS)
