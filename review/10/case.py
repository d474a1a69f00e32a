"""A version names a shard twice: each answer holds the shard's part twice, and its records twice."""

import hashlib
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand  # noqa: E402

SHARDS = ["shard-1", "shard-2", "shard-3"]
TOP = 6


def configuration(version, shards):
    return {"Version": version,
            "Routes": [{"Name": "search", "Host": "search.example", "PathPrefix": "/s/",
                        "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 200,
                        "Priority": 1, "FanoutServices": shards, "MaxAttempts": 2, "TopK": TOP,
                        "MinShardShare": 0.75}],
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 60,
                          "Protocol": "h1", "Tls": False} for name in SHARDS],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


def records(service, path):
    """All servers of a shard respond equally well: with the same records."""
    return [hashlib.md5(f"{service} {path} {i}".encode()).digest() for i in range(4)]


def case(record):
    deployment = stand.Deployment(cores=3, fronts=2)
    deployment.servers = [
        stand.Server(deployment, f"i-{name}-{zone}", name,
                     f"{deployment.net}.{200 + z}:{20000 + s}", zone, record=record,
                     answer=lambda request, name=name: (
                         200, {}, b"".join(records(name, request.path))))
        for s, name in enumerate(SHARDS) for z, zone in enumerate(deployment.zones)]
    operator = stand.Operator(deployment, record)
    try:
        deployment.start(configuration(1, SHARDS))
        time.sleep(3.0)
        if stand.TROUBLE:
            operator.order("POST", "/config/replace",
                           configuration(2, [SHARDS[0], SHARDS[0], SHARDS[1], SHARDS[2]]))
            record(f"version 2 is acknowledged; it names {SHARDS[0]} twice")
        time.sleep(5.0)
        successes, twice, wrong = 0, [], []
        for n in range(40):
            identity, path = stand.request_id(), f"/s/{n}"
            address, port = deployment.front(n % 2)
            status, headers, body = stand.call(
                "GET", f"{address}:{port}", path, timeout=2.0,
                headers={"Host": "search.example", "Request-Id": identity, "Deadline-Ms": "1500"})
            stamps = [stamp.strip() for stamp in headers.get("Part-Stamps", "").split(",")]
            services = [stamp.split(".")[0] for stamp in stamps]
            record(f"client: GET {path} {identity}: {status}, parts of {services}, missing "
                   f"{headers.get('Missing-Parts')}, {len(body) // 16} records, "
                   f"{len({body[i:i + 16] for i in range(0, len(body), 16)})} different")
            if status != 200:
                continue
            successes += 1
            if len(set(services)) != len(services):
                twice.append(identity)
            expected = b"".join(sorted((item for name in set(services)
                                        for item in records(name, path)), reverse=True)[:TOP])
            if body != expected:
                wrong.append(identity)
            time.sleep(0.03)
        if successes < 20:
            raise stand.CannotRun(f"{successes} of 40 requests were served")
        broken = []
        if twice or wrong:
            broken.append(f"MIXED: of {successes} successes {len(twice)} hold two signatures of "
                          f"one service, and {len(wrong)} aren't the greatest {TOP} records of the "
                          "services named")
        return broken
    finally:
        deployment.stop()


stand.run(os.path.dirname(os.path.abspath(__file__)), case)
