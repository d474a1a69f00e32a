"""The history check detects each kind of violation when one is inserted into a valid history."""

import json

import fleet as fleet_module
from fleet import check


def read_events(path):
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]


def write(path, events):
    with open(path, "w", encoding="utf-8") as file:
        for event in events:
            file.write(json.dumps(event) + "\n")


def case(fleet):
    callers = fleet.path("callers.jsonl")
    fleet.load("--arm", fleet.arm(), "--group", "lots", "--rate", "50", "--seconds", "2",
               "--warm-up", "0", "--seed", "1", "--history", callers)
    fleet.load("--arm", fleet.arm(), "--group", "orders", "--rate", "20", "--seconds", "2",
               "--warm-up", "0", "--actions", "--seed", "2", "--history", callers)
    valid_events = read_events(callers)
    # Guards against loads that draw the same trace ids: what ran for a search of the one was taken
    # for a run of a refused order of the other.
    traces = [event["trace"] for event in valid_events]
    check(len(set(traces)) == len(traces), "no two requests have the same trace id")
    fleet.check_history(callers)
    searches = [event for event in valid_events if "coverage" in event["body"]]

    def check_detected(violation, change):
        events = json.loads(json.dumps(valid_events))
        change(events)
        write(fleet.path("planted.jsonl"), events)
        print(violation)
        fleet.check_history(fleet.path("planted.jsonl"), expect=1)

    index = valid_events.index(searches[0])
    other = next(event for event in searches if event["query"] != searches[0]["query"])
    check_detected("an answer that belongs to another request",
                   lambda events: events[index]["body"].update(hits=other["body"]["hits"]))
    check_detected("a hit from another snapshot",
                   lambda events: events[index]["body"]["hits"][0].update(document="lots-0/0/1/0"))
    check_detected("more coverage than the targets provided",
                   lambda events: events[index]["body"]["coverage"].update(
                       parts_answered=9, parts_total=9))
    check_detected("a request reported as not run that ran",
                   lambda events: events[index].update(body={"ran": "no"}))

    targets = fleet.path("targets-zone-1.history")
    history = read_events(targets)
    order = next(event for event in
                 read_events(targets) + read_events(fleet.path("targets-zone-2.history"))
                 if event.get("key") and event["event"] == "start")
    write(targets, history + [order])
    print("a request that ran twice")
    fleet.check_history(callers, expect=1)
    check(history, "the history of the targets is not empty")


fleet_module.run_case(case, first_port=23600)
