"""The history check finds each kind of fault when one is planted in a good history."""

import json

import fleet as fleet_module
from fleet import check


def lines(path):
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]


def write(path, events):
    with open(path, "w", encoding="utf-8") as file:
        for event in events:
            file.write(json.dumps(event) + "\n")


def case(fleet):
    callers = fleet.path("callers.jsonl")
    fleet.load("--arm", fleet.arm(), "--group", "lots", "--rate", "50", "--seconds", "2",
               "--warm-up", "0", "--history", callers)
    fleet.load("--arm", fleet.arm(), "--group", "orders", "--rate", "20", "--seconds", "2",
               "--warm-up", "0", "--actions", "--history", callers)
    fleet.check_history(callers)
    good = lines(callers)
    searches = [one for one in good if "coverage" in one["body"]]

    def planted(what, change):
        events = json.loads(json.dumps(good))
        change(events)
        write(fleet.path("planted.jsonl"), events)
        print(what)
        fleet.check_history(fleet.path("planted.jsonl"), expect=1)

    at = good.index(searches[0])
    other = next(one for one in searches if one["query"] != searches[0]["query"])
    planted("an answer of another request",
            lambda events: events[at]["body"].update(hits=other["body"]["hits"]))
    planted("a hit of another snapshot",
            lambda events: events[at]["body"]["hits"][0].update(document="lots-0/0/1/0"))
    planted("more coverage than targets ran",
            lambda events: events[at]["body"]["coverage"].update(parts_answered=9, parts_total=9))
    planted("\"not run\", but it ran",
            lambda events: events[at].update(body={"ran": "no"}))

    targets = fleet.path("targets-zone-1.history")
    history = lines(targets)
    order = next(one for one in lines(targets) + lines(fleet.path("targets-zone-2.history"))
                 if one.get("key") and one["event"] == "start")
    write(targets, history + [order])
    print("a double run")
    fleet.check_history(callers, expect=1)
    check(history, "there was something to check")


fleet_module.run_case(case, first_port=23600)
