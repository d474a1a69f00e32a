"""Control hosts found a cluster together although their settings name a seed twice; the loss of that
host leaves a quorum.

Guards against a founding member that counts as two voters."""

import json

import forward
from fleet import check, http, wait_for

SEEDS = [f"127.0.74.{i}:8000" for i in (1, 1, 2, 3)]


def case(deployment):
    def members(address):
        status, _, body = http("GET", f"{address}:8000", "/v1/status", timeout=1)
        return [member["address"] for member in json.loads(body)["members"]] if status == 200 else []

    for address in deployment.controls:
        known = members(address)
        check(sorted(known) == [f"{control}:7000" for control in deployment.controls],
              f"each control host is one member: {known}")
    deployment.processes["control-1"].kill()
    wait_for("a version is accepted without the host that is named twice", lambda: (
        deployment.replace_routing(deployment.routes(), deployment.controls[1]) == 200), 15)


forward.run_case(case, network=74, control_settings={"control_seeds": SEEDS})
