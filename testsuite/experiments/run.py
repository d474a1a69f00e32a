"""Measures the policy against its baselines: run.py PROGRAMS [EXPERIMENT...]

Each experiment prints its figures and whether the stated goal is met. This is not a
test: timings depend on the machine, so goals are ratios within one run.
"""

import json
import os
import statistics
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import fleet as fleet_module  # noqa: E402
from fleet import http  # noqa: E402

SOURCE = os.path.dirname(os.path.dirname(HERE))
DEFAULT = os.path.join(SOURCE, "etc", "thaalam.settings.jsonc")
NAIVE = os.path.join(HERE, "naive.settings.jsonc")
SPREAD = os.path.join(HERE, "spread.settings.jsonc")


def start(fleet_file, **arguments):
    fleet = fleet_module.Fleet(sys.argv[1], fleet_file, DEFAULT, controls=0,
                               first_port=28000, **arguments)
    return fleet.start()


def configure_targets(first_port, count, body):
    for port in range(first_port, first_port + count):
        http("POST", f"127.0.0.1:{port}", "/v1/stand-in", body)


def print_result(name, met, text):
    print(f"{name}: {'met' if met else 'NOT MET'}: {text}", flush=True)


def stragglers():
    """p99 of a fan-out with 1% stragglers at 10x at most 1.5x the p99 with none."""
    fleet = start(os.path.join(SOURCE, "etc", "thaalam.fleet.jsonc"), entries=8,
                  arms={"naive": NAIVE, "spread": SPREAD, "default": DEFAULT})
    figures = {}
    try:
        for _ in range(3):
            for percent in (0, 1):
                configure_targets(21000, 30, {"straggler_percent": percent})
                report = fleet.load("--arm", fleet.all_arms(), "--group", "workshop-portal",
                                    "--rate", "120", "--seconds", "10", "--warm-up", "3",
                                    "--queries", "300")
                for name, arm in report.items():
                    figures.setdefault((name, percent), []).append(
                        (arm["latency"]["p99_ms"], arm["extra_percent"]))
    finally:
        fleet.stop()
        fleet.remove()
    for name in ("naive", "spread", "default"):
        baseline = statistics.median(figure[0] for figure in figures[(name, 0)])
        with_stragglers = statistics.median(figure[0] for figure in figures[(name, 1)])
        extra = max(figure[1] for figure in figures[(name, 1)])
        print_result(f"stragglers {name}", with_stragglers <= 1.5 * baseline,
                     f"p99 {baseline:.1f} ms without, {with_stragglers:.1f} ms with, "
                     f"ratio {with_stragglers / baseline:.2f}, "
                     f"extra at most {extra:.2f} %")


def overload():
    """Goodput at 2x at least 90% of that at 1x; refusals within 5 ms; extra attempts at most 5%
    also at 3x; routine requests are shed first."""
    fleet = start(os.path.join(HERE, "crowded.fleet.jsonc"), entries=4,
                  arms={"naive": NAIVE, "default": DEFAULT})
    rows = {}
    try:
        for rate in (160, 320, 480):
            report = fleet.load("--arm", fleet.all_arms(), "--group", "crowded",
                                "--rate", str(rate), "--seconds", "16", "--slice", "8",
                                "--warm-up", "0", "--deadline-ms", "400", "--queries", "50",
                                "--classes", "3,4,3")
            for name, arm in report.items():
                rows[(name, rate)] = arm
    finally:
        fleet.stop()
        fleet.remove()
    for name in ("naive", "default"):
        goodput_1x = rows[(name, 160)]["complete_per_s"]
        goodput_2x = rows[(name, 320)]["complete_per_s"]
        print_result(f"overload {name}", goodput_2x >= 0.9 * goodput_1x,
                     f"complete answers a second {goodput_1x:.0f} at 1x, {goodput_2x:.0f} at 2x, "
                     f"{rows[(name, 480)]['complete_per_s']:.0f} at 3x")
    refusal = rows[("default", 320)]["refusal"]
    print_result("refusals", refusal["p50_ms"] <= 5,
                 f"p50 {refusal['p50_ms']} ms, p99 {refusal['p99_ms']} ms")
    extra = rows[("default", 480)]["extra_percent"]
    print_result("extra at 3x", extra <= 5, f"{extra} %")
    classes_2x = rows[("default", 320)]["classes"]  # Printed as (answers, p99 in ms).
    print("by class at 2x:", {name: (row["answers"], row["p99_ms"])
                              for name, row in classes_2x.items()})
    classes_1x = rows[("default", 160)]["classes"]
    print("by class at 1x:", {name: (row["answers"], row["p99_ms"])
                              for name, row in classes_1x.items()})


def reports():
    """False load reports raise p99 by at most 10% over correct ones."""
    fleet = start(os.path.join(SOURCE, "etc", "thaalam.fleet.jsonc"), entries=8)
    figures = {"true": [], "lying": []}
    try:
        for _ in range(3):
            for kind in figures:
                for i, port in enumerate(range(21000, 21030)):
                    queue = (0 if i % 3 == 0 else 50) if kind == "lying" else 0
                    http("POST", f"127.0.0.1:{port}", "/v1/stand-in", {"reported_queue": queue})
                time.sleep(1.5)
                report = fleet.load("--arm", fleet.arm(), "--group", "workshop-portal",
                                    "--rate", "150", "--seconds", "8", "--warm-up", "2",
                                    "--queries", "300")
                figures[kind].append(report["all"]["latency"]["p99_ms"])
    finally:
        fleet.stop()
        fleet.remove()
    true_p99, lying_p99 = statistics.median(figures["true"]), statistics.median(figures["lying"])
    print_result("lying reports", lying_p99 <= 1.1 * true_p99,
                 f"p99 {true_p99:.1f} ms true, {lying_p99:.1f} ms lying")


def lost_replicas():
    """Coverage stays at 100% when one replica of each part is lost."""
    fleet = start(os.path.join(SOURCE, "etc", "thaalam.fleet.jsonc"), entries=8)
    try:
        configure_targets(21000, 30, {"straggler_percent": 0})
        import threading
        report = {}
        load = threading.Thread(target=lambda: report.update(fleet.load(
            "--arm", fleet.arm(), "--group", "workshop-portal", "--rate", "120",
            "--seconds", "10", "--warm-up", "0", "--queries", "300")))
        load.start()
        time.sleep(4)
        fleet.processes["targets-kochi-2"].kill()
        load.join()
    finally:
        fleet.stop()
        fleet.remove()
    arm = report["all"]
    print_result("lost replicas", arm["complete"] == arm["sent"],
                 f"{arm['complete']} of {arm['sent']} complete, "
                 f"lowest coverage {arm['coverage_min']}, extra {arm['extra_percent']} %")


def soft_deadline():
    """A group with a soft deadline answers in time when one part is very slow."""
    fleet = start(os.path.join(SOURCE, "etc", "oberland.fleet.jsonc"), entries=8,
                  arms={"coverage": DEFAULT,
                        "soft": os.path.join(SOURCE, "etc", "oberland.settings.jsonc")})
    try:
        configure_targets(22000, 3, {"service_ms": 400})
        report = fleet.load("--arm", fleet.all_arms(), "--group", "booking-search",
                            "--rate", "40", "--seconds", "10", "--warm-up", "2",
                            "--queries", "100")
    finally:
        fleet.stop()
        fleet.remove()
    soft = report["soft"]
    print_result("soft deadline", soft["latency"]["p99_ms"] <= 70,
                 f"p99 {soft['latency']['p99_ms']} ms at coverage {soft['coverage_mean']}; "
                 f"a coverage group: {report['coverage']['latency']['p99_ms']} ms at "
                 f"{report['coverage']['coverage_mean']}")


def cpu_seconds(process):
    with open(f"/proc/{process.handle.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def added_latency():
    """An entry host adds at most 1 ms at the median under light load; CPU time per attempt."""
    fleet = fleet_module.Fleet(sys.argv[1], os.path.join(HERE, "steady.fleet.jsonc"), SPREAD,
                               controls=0, entries=1, first_port=28000)
    fleet.trace_percent = 100
    fleet.start()
    try:
        fleet.load("--arm", fleet.arm(), "--group", "steady", "--rate", "50", "--seconds", "3")
        before = cpu_seconds(fleet.processes["entry-1"])
        report = fleet.load("--arm", fleet.arm(), "--group", "steady", "--rate", "100",
                            "--seconds", "10", "--warm-up", "0")
        used = cpu_seconds(fleet.processes["entry-1"]) - before
        time.sleep(0.5)
        spans = {}
        for name in os.listdir(fleet.folder):
            if not name.endswith(".traces"):
                continue
            with open(fleet.path(name), encoding="utf-8") as file:
                for line in file:
                    span = json.loads(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0]
                    length = (int(span["endTimeUnixNano"]) - int(span["startTimeUnixNano"])) / 1e6
                    spans.setdefault(span["traceId"], {})[span["name"]] = length
    finally:
        fleet.stop()
        fleet.remove()
    added = sorted(trace["entry.search"] - trace["target.run"] for trace in spans.values()
                   if "entry.search" in trace and "target.run" in trace)
    attempts = sum(report["all"]["attempts"].values())
    print_result("added latency", statistics.median(added) <= 1.0,
                 f"p50 {statistics.median(added):.3f} ms over {len(added)} traced searches")
    print(f"CPU {used / attempts * 1e6:.0f} us per attempt, {attempts} attempts, whole process, "
          f"all traced")


EXPERIMENTS = {experiment.__name__: experiment for experiment in (
    stragglers, overload, reports, lost_replicas, soft_deadline, added_latency)}


if __name__ == "__main__":
    for chosen in sys.argv[2:] or EXPERIMENTS:
        print(f"== {chosen}: {EXPERIMENTS[chosen].__doc__.splitlines()[0]}", flush=True)
        EXPERIMENTS[chosen]()
