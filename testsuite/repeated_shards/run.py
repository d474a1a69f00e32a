"""A version of the routes that names shards twice is accepted, and each search counts and answers
every shard once, also after hosts restart; the operator reads the document back as it was sent.

Guards against parts, records and shares of shards that are counted by mention and not by shard."""

import forward
from fleet import check, wait_for
from forward import Call

SEARCHES = 30
REPEATED = {"part-1": 5}  # How often a document names a shard; once if it isn't here.


def case(deployment):
    groups = deployment.groups
    listed = [group for group in groups for _ in range(REPEATED.get(group, 1))]

    def replace(shards, share):
        search = {"host": "search.test", "path_prefix": "/", "kind": "repeatable",
                  "timeout_ms": 2000, "objective_ms": 200, "rank": 1, "shards": shards,
                  "max_attempts": 2, "top_records": 10, "min_shard_share": share}
        status = deployment.replace_routing(deployment.routes(search=search))
        check(status == 200, f"a version that names shards twice gets {status}")
        newest = deployment.version
        for control in deployment.controls:
            wait_for("the version is read", lambda a=control: (
                deployment.read_routing(a) or {}).get("version") == newest, 5)
            read = deployment.read_routing(control)["routes"][0]["shards"]
            check(read == shards, f"the document is read as it was sent: {read}")

    def searches():
        return [Call(deployment.entries[i % 2], "search.test", f"/{i}").perform()
                for i in range(SEARCHES)]

    def check_whole(text):
        wait_for(f"{text}: searches are complete", lambda: all(
            call.status == 200 and call.missing == 0 for call in searches()), 10)
        for call in searches():
            fault = call.response_fault(groups)
            check(call.status == 200 and not fault, f"{text}: {call.status}, {fault}")

    def targets(group):
        return [process for name, process in deployment.processes.items()
                if name.startswith(f"{group}-")]

    replace(listed, 0.5)
    check_whole("after the change")
    for name in ("control-1", "control-2", "control-3", "entry-1"):
        deployment.processes[name].kill()
        deployment.processes[name].restart()
    check_whole("after restarts")
    replace(groups, 0.5)
    replace(listed[::-1], 0.5)
    check_whole("after two more changes")

    # One shard of four is lost, then two of them, for a bound of three in four.
    replace(listed, 0.75)
    for lost, served in (("part-4", True), ("part-3", False)):
        for process in targets(lost):
            process.kill()
        expected = len(groups) - 1
        wait_for(f"{lost} is missed", lambda s=served: any(
            (call.status == 200 and call.missing == 1) == s for call in searches()), 10)
        for call in searches():
            fault = call.response_fault(groups)
            check(not fault, f"without {lost}: {fault}")
            check(call.status != 200 or len(call.signatures) >= expected,
                  f"without {lost}: a success over {call.signatures}")


forward.run_case(case, network=71, crash_on="/none")
