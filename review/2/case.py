"""Heartbeats of another writer, whose id cannot be read, end the processes that serve control."""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import CONTROL_PORT, Server, Unable, configuration, route, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEATS = 5  # Of the other writer, one in each heartbeat interval and a restart.


def foreign_heartbeat(deployment, control, number):
    """One heartbeat whose id is not text; returns the first bytes of the answer."""
    body = (b'{"Service":"other","Address":"%s:9","Zone":"zone-a","Version":"v1","Slots":1,'
            b'"State":"ready","ColdRemainingMs":0,"Sequence":%d,"born":1}'
            % (control.ip.encode(), number))
    head = (b"POST /instances/i-\xff\xfe/heartbeat HTTP/1.1\r\nHost: control\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body))
    try:
        with socket.create_connection((control.ip, CONTROL_PORT), timeout=1) as connection:
            connection.settimeout(1)
            connection.sendall(head + body)
            return connection.recv(64)
    except OSError as error:
        return str(error).encode()


def judge(deployment):
    deployment.start()
    time.sleep(2)
    servers_ip = f"{deployment.network}.200"
    for i, zone in enumerate(deployment.zones):
        Server(deployment, "stock", servers_ip, 20000 + i, zone)
    if not deployment.replace(
            configuration(1, ["stock"], [route("r", "/a/", "stock")])):
        raise Unable("the first configuration was not acknowledged")
    deployment.wait_ready()
    time.sleep(5)
    for number in range(1, BEATS + 1):
        if TROUBLE:
            # A caller of control moves on to the next node after a failure.
            for control in deployment.controls:
                answer = foreign_heartbeat(deployment, control, number)
                deployment.record("foreign_heartbeat", to=control.name,
                                  answer=answer.split(b"\r\n")[0])
                if answer.startswith(b"HTTP/1.1 2"):
                    break
        time.sleep(3)
    ends = {control.name: len(control.ends) for control in deployment.controls}
    often = [name for name, count in ends.items() if count >= 3]
    deployment.record("verdict", ends=ends, three_times_or_more=len(often),
                      of=len(deployment.controls))
    return 1 if 2 * len(often) >= len(deployment.controls) else 0


if __name__ == "__main__":
    run_case(__file__, judge)
