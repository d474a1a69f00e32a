"""Demo: starts a fleet of stand-in targets, sends a search, runs load and prints a report."""

import json
import os
import sys

import fleet as fleet_module

SOURCE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GROUPS = {"thaalam": "workshop-portal", "oberland": "booking-search"}


def main():
    programs, deployment, seconds = sys.argv[1], sys.argv[2], sys.argv[3]
    group = GROUPS[deployment]
    fleet = fleet_module.Fleet(
        programs, os.path.join(SOURCE, "etc", f"{deployment}.fleet.jsonc"),
        os.path.join(SOURCE, "etc", f"{deployment}.settings.jsonc"),
        entries=8, controls=3, first_port=26000)
    try:
        print(f"starting targets, entry hosts and control hosts of {deployment}", flush=True)
        fleet.start()
        print(f"$ curl -d '{{\"query\": \"goat hide 14 inch\"}}' "
              f"http://{fleet.entries()[0]}/v1/groups/{group}/search", flush=True)
        status, _, response = fleet.search(group, "goat hide 14 inch")
        print(f"HTTP {status}", json.dumps(response["coverage"]), flush=True)
        callers_path = fleet.path("callers.jsonl")
        print(f"load on {group}, 150 requests a second for {seconds} s", flush=True)
        fleet.load("--arm", fleet.arm(), "--group", group, "--rate", "150",
                   "--seconds", seconds, "--history", callers_path)
        fleet.check_history(callers_path)
    finally:
        fleet.stop()
    fleet.remove()


if __name__ == "__main__":
    main()
