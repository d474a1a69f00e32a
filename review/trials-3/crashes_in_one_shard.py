"""A request that crashes the servers of one shard, while the others answer it, is never stopped."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
NAME = os.path.splitext(os.path.basename(__file__))[0]
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))

import deployment as stand_ins  # noqa: E402

FRONTS = 3
# A server that has crashed is back after this long.
BACK_AFTER_S = 3.0
# Into the run of the request: the servers of the other shards have answered by then.
CRASH_AFTER_S = 0.06
SENDS, SEND_INTERVAL_S = 10, 5.0
POISON = "/q/poison"
SHARDS = ["s1", "s2", "s3", "s4", "s5"]
ROUTES = [{"Name": "r-search", "Host": "search.example", "PathPrefix": "/q/",
           "Kind": "idempotent", "TimeoutMs": 2500, "TargetLatencyMs": 150, "Priority": 1,
           "FanoutServices": SHARDS, "MaxAttempts": 2, "TopK": 5, "MinShardShare": 0.75}]
SERVICES = [{"Name": name, "HealthPath": "/health", "MaxConnections": 31, "Protocol": "h1",
             "Tls": False} for name in SHARDS]


class Server(stand_ins.Server):
    down = False

    async def work(self, path):
        await asyncio.sleep(1.0 if path == POISON and self.service == "s1" else self.work_s)

    async def crash(self):
        await asyncio.sleep(CRASH_AFTER_S)
        if self.down:
            return
        self.down = True
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(BACK_AFTER_S)
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.born, self.sequence, self.down = int(time.time() * 1000), 0, False
        await self.start()


async def case(deployment, trouble):
    loop = asyncio.get_running_loop()
    arrivals, crashes, tasks = [], [], []

    def on_run(server, method, path, headers, body):
        if path != POISON or server.down or server.service != "s1":
            return
        arrivals.append(loop.time())
        if trouble:
            crashes.append(loop.time())
            deployment.record(f"server {server.id} begins to run it, and crashes")
            tasks.append(asyncio.create_task(server.crash()))

    for name in SHARDS:
        for zone in deployment.zones:
            await Server(deployment, name, zone, on_run=on_run).start()
    await deployment.replace_config(ROUTES, SERVICES)
    await deployment.wait_ready()
    await asyncio.sleep(4.5)
    for i in range(SENDS):
        front = deployment.fronts[i % FRONTS]
        identity = stand_ins.request_id()
        answer = await stand_ins.exchange(
            front.ip, deployment.front_port, "GET", POISON, {
                "Host": "search.example", "Request-Id": identity, "Deadline-Ms": "2500"},
            timeout=3.5)
        deployment.record(f"{POISON} {identity} sent to {front.name}, answer "
                          f"{answer.status if answer else None}")
        await asyncio.sleep(SEND_INTERVAL_S)
    for task in tasks:
        task.cancel()
    window_s = deployment.bounds["StabilityWindowMs"] / 1000
    late = [at for at in arrivals if len(crashes) > 2 and at > crashes[2] + window_s]
    deployment.record(f"{len(crashes)} crashes, {len(late)} arrivals later than "
                      "StabilityWindowMs after the third")
    print(f"{len(crashes)} crashes, {len(late)} late arrivals")
    return ([f"BUDGET: the request reached {len(late)} servers later than StabilityWindowMs "
             "after it had crashed the third"] if len(late) > 3 else [])


stand_ins.main(case, FOLDER, NAME + "-record.txt", fronts=FRONTS)
