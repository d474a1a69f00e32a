"""Starts and stops a complete deployment on loopback for demos and black-box tests.

Processes are started here and signalled only by their own process ids.
"""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request


class Failure(Exception):
    """An expectation of a test case was not met."""


def check(condition, description):
    if not condition:
        raise Failure(description)


def http(method, address, path, body=None, headers=None, timeout=10.0):
    """Returns (status, headers, body as bytes); the status is 0 if no response arrived."""
    request = urllib.request.Request(
        f"http://{address}{path}", method=method, headers=headers or {},
        data=None if body is None else json.dumps(body).encode())
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()
    except OSError:
        return 0, {}, b""


def wait_for(description, condition, seconds=15.0):
    """Polls until `condition()` is true; returns the elapsed seconds."""
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if condition():
            return time.monotonic() - started
        time.sleep(0.05)
    raise Failure(f"not within {seconds} s: {description}")


class Process:
    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.handle = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.handle = subprocess.Popen(self.command, stdout=log, stderr=log)

    def alive(self):
        return self.handle.poll() is None

    def send(self, signal_number):
        if self.alive():
            self.handle.send_signal(signal_number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.handle.wait()

    def stop(self, seconds=20.0):
        """Sends SIGTERM; returns the exit code, or None if the process had to be killed."""
        self.send(signal.SIGTERM)
        try:
            return self.handle.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def restart(self):
        self.start()


class Fleet:
    """One deployment: the targets of each zone, the entry hosts and the control hosts."""

    def __init__(self, programs, fleet_file, settings_file, entries=3,
                 controls=3, first_port=23000, settings_version=True,
                 folder=None, entry_data_folders=False, arms=None,
                 host_settings=None):
        self.programs = programs
        self.folder = folder or tempfile.mkdtemp(prefix="snipeworks-")
        self.fleet_file = fleet_file
        self.settings_file = settings_file
        with open(fleet_file, encoding="utf-8") as file:
            lines = [line for line in file if not line.strip().startswith("//")]
        self.zones = json.loads("".join(lines))["zones"]
        self.processes = {}
        self.entry_hosts = []
        self.control_hosts = []
        for i in range(entries):
            self.entry_hosts.append({
                "host": f"entry-{i + 1}", "zone": self.zones[i % len(self.zones)],
                "http": f"127.0.0.1:{first_port + i}",
                "peer": f"127.0.0.1:{first_port + 100 + i}"})
        for i in range(controls):
            self.control_hosts.append({
                "host": f"control-{i + 1}", "zone": self.zones[i % len(self.zones)],
                "http": f"127.0.0.1:{first_port + 200 + i}",
                "peer": f"127.0.0.1:{first_port + 300 + i}"})
        self.entry_data_folders = entry_data_folders
        # Maps the name of each arm to the settings file of its entry hosts. Entry hosts are
        # assigned to the arms in rotation. Used only without control hosts.
        self.arms = arms or {}
        self.host_settings = host_settings or {}  # Added to those of each host.
        self.trace_percent = 0

    def program(self, name):
        return os.path.join(self.programs, name)

    def path(self, name):
        return os.path.join(self.folder, name)

    def start_process(self, name, command):
        self.processes[name] = Process(name, command, self.path(name + ".log"))
        return self.processes[name]

    def entries(self):
        return [host["http"] for host in self.entry_hosts]

    def arm(self, name="all"):
        return name + "=" + ",".join(self.entries())

    def all_arms(self):
        """All arms in the format of snipe-load's option --arm."""
        names = list(self.arms)
        return ";".join(
            name + "=" + ",".join(self.entries()[i::len(names)])
            for i, name in enumerate(names))

    def write_settings(self, host, data_folder):
        peers = lambda hosts: [
            {"host": peer["host"], "zone": peer["zone"], "peer": peer["peer"]}
            for peer in hosts]
        settings = dict(host)
        settings["entry_hosts"] = peers(self.entry_hosts)
        settings["control_hosts"] = peers(self.control_hosts)
        settings["allow_faults"] = True
        settings.update(self.host_settings)
        settings["shutdown_hold_ms"] = 500
        settings["traces"] = self.path(host["host"] + ".traces")
        settings["trace_percent"] = self.trace_percent
        if data_folder:
            settings["data_folder"] = self.path(data_folder)
        path = self.path(host["host"] + ".jsonc")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)
        return path

    def start_control(self, index, bootstrap=False):
        host = self.control_hosts[index]
        settings = self.write_settings(host, host["host"] + ".data")
        command = [self.program("snipe-control"), "--settings", settings]
        if bootstrap:
            command.append("--bootstrap")
        return self.start_process(host["host"], command)

    def start_controls(self):
        for index in range(len(self.control_hosts)):
            self.start_control(index, bootstrap=index == 0)
        wait_for("every control host is a voter", lambda: self.voters() == len(self.control_hosts))

    def voters(self):
        most = 0
        for host in self.control_hosts:
            status, _, body = http("GET", host["http"], "/v1/status", timeout=1)
            if status == 200:
                control = json.loads(body)
                members = control["members"] if control["members_committed"] else []
                most = max(most, sum(1 for member in members if member["voter"]))
        return most

    def control_status(self, index):
        status, _, body = http("GET", self.control_hosts[index]["http"], "/v1/status", timeout=2)
        return json.loads(body) if status == 200 else None

    def start_entry(self, index):
        host = self.entry_hosts[index]
        settings = self.write_settings(
            host, host["host"] + ".data" if self.entry_data_folders else "")
        command = [self.program("snipe-entry"), "--settings", settings, "--log-level", "1"]
        if not self.control_hosts:
            files = list(self.arms.values()) or [self.settings_file]
            command += ["--fleet-settings", files[index % len(files)]]
        return self.start_process(host["host"], command)

    def start_targets(self, zone=None, only=None, name=None):
        command = [self.program("snipe-target"), "--fleet", self.fleet_file,
                   "--entries", ",".join(self.entries()),
                   "--log-level", "1"]
        name = name or "targets-" + (zone or "all")
        command += ["--history", self.path(name + ".history")]
        command += ["--traces", self.path(name + ".traces")]
        if zone:
            command += ["--zone", zone]
        if only:
            command += ["--only", only]
        return self.start_process(name, command)

    def ctl(self, *arguments, expect=0):
        command = [self.program("snipectl"),
                   "--control", ",".join(host["peer"] for host in self.control_hosts),
                   "--entries", ",".join(self.entries())] + list(arguments)
        result = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        if expect is not None:
            check(result.returncode == expect,
                  f"snipectl {' '.join(arguments)}: exit {result.returncode}: "
                  f"{result.stdout}{result.stderr}")
        return result

    def start(self):
        if self.control_hosts:
            self.start_controls()
            self.ctl("settings", "set", self.settings_file, "--base", "0")
        for index in range(len(self.entry_hosts)):
            self.start_entry(index)
        for zone in self.zones:
            self.start_targets(zone)
        self.wait_ready()
        return self

    def wait_ready(self, seconds=20.0):
        def ready():
            return all(http("GET", address, "/readyz", timeout=2)[0] == 200
                       for address in self.entries())
        return wait_for("every entry host is ready", ready, seconds)

    def status(self, index):
        _, _, body = http("GET", self.entry_hosts[index]["http"], "/v1/status")
        return json.loads(body) if body else {}

    def search(self, group, query, entry=0, headers=None, timeout=10.0):
        status, response_headers, body = http(
            "POST", self.entry_hosts[entry]["http"], f"/v1/groups/{group}/search",
            {"query": query}, headers, timeout)
        return status, response_headers, json.loads(body) if body else {}

    def load(self, *arguments, expect=0):
        """Runs snipe-load; returns its report for each arm by name."""
        report = self.path(f"report-{time.monotonic_ns()}.json")
        command = [self.program("snipe-load"), "run", "--json", report] + list(arguments)
        result = subprocess.run(command, capture_output=True, text=True, timeout=200, check=False)
        if expect is not None:
            check(result.returncode == expect,
                  f"snipe-load: exit {result.returncode}: {result.stderr}")
        sys.stdout.write(result.stdout)
        sys.stdout.flush()
        with open(report, encoding="utf-8") as file:
            return {arm["arm"]: arm for arm in json.load(file)}

    def check_history(self, callers_path, expect=0):
        targets = [self.path(name) for name in os.listdir(self.folder)
                   if name.endswith(".history") and name.startswith("target")]
        result = subprocess.run(
            [self.program("snipe-load"), "check", "--callers", callers_path,
             "--targets", ",".join(targets)],
            capture_output=True, text=True, timeout=100, check=False)
        sys.stdout.write(result.stdout[-2000:])
        check(result.returncode == expect, f"history check: exit {result.returncode}")

    def stop(self):
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        deadline = time.monotonic() + 15
        for process in self.processes.values():
            try:
                process.handle.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    def remove(self):
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, **fleet_arguments):
    """Starts a fleet and runs case(fleet) on it; exits with status 1 if an expectation fails."""
    source = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    defaults = {
        "fleet_file": os.path.join(source, "testsuite", "small.fleet.jsonc"),
        "settings_file": os.path.join(source, "etc", "thaalam.settings.jsonc")}
    defaults.update(fleet_arguments)
    fleet = Fleet(sys.argv[1], **defaults)
    try:
        fleet.start()
        case(fleet)
    except Failure as failure:
        print(f"FAILED: {failure}", flush=True)
        print(f"logs are in {fleet.folder}", flush=True)
        fleet.stop()
        sys.exit(1)
    fleet.stop()
    fleet.remove()
    print("passed", flush=True)
