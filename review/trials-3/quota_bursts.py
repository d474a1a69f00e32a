"""A tenant that sends in bursts gets its burst allowance at each front machine."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
NAME = os.path.splitext(os.path.basename(__file__))[0]
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))

import deployment as stand_ins  # noqa: E402

FRONTS = 16
# Of the sheet of the deployment with tenants: QuotaWindowS, QuotaOvershoot, QuotaSlack.
QUOTA = {"QuotaWindowS": 5, "QuotaOvershoot": 0.1, "QuotaSlack": 20}
RATE_PER_S, BURST = 8, 8
# The quota is 1.6 times what the tenant usually sends (quota_x in the site file).
USUAL_PER_S = RATE_PER_S / 1.6
# hot_tenant in the site file: 7.5 times the usual for 6.5 s, here in two bursts.
HOT_X, HOT_S = 7.5, 6.5
BURSTS = 2
OTHER_PER_S = 8 * FRONTS
KEYS = {"tenant-1": "k-11aa", "tenant-2": "k-22bb"}
TENANTS = [{"Name": "tenant-1", "ApiKeys": [KEYS["tenant-1"]], "Priority": 1,
            "RatePerS": RATE_PER_S, "Burst": BURST},
           {"Name": "tenant-2", "ApiKeys": [KEYS["tenant-2"]], "Priority": 1,
            "RatePerS": 1000, "Burst": 1000}]
ROUTES = [{"Name": "r-ledger", "Host": "ledger.example", "PathPrefix": "/q/",
           "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 500, "Priority": 2,
           "Service": "ledger", "MaxAttempts": 2}]
SERVICES = [{"Name": "ledger", "HealthPath": "/health", "MaxConnections": 460,
             "Protocol": "h1", "Tls": False}]


class Client:
    """A client with one open connection to a front machine."""

    def __init__(self, deployment, front):
        self.deployment, self.front, self.writer = deployment, front, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.front.ip, self.deployment.front_port)

    async def ask(self, tenant, sent):
        identity = stand_ins.request_id()
        try:
            async with asyncio.timeout(4):
                if self.writer is None:
                    await self.open()
                sent[identity] = asyncio.get_running_loop().time()
                self.writer.write(stand_ins.request_bytes("GET", "/q/" + identity, {
                    "Host": "ledger.example", "Request-Id": identity, "Deadline-Ms": "1500",
                    "Authorization": "Token " + KEYS[tenant]}))
                answer = await stand_ins.read_answer(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.writer = None
            return None
        if answer.header("connection").lower() == "close":
            self.writer.close()
            self.writer = None
        if tenant == "tenant-1":
            self.deployment.record(f"client of tenant-1 sent {identity} to {self.front.name}, "
                                   f"gets {answer.status}")
        return answer


async def case(deployment, trouble):
    loop = asyncio.get_running_loop()
    sent, ran = {}, {}

    def on_run(server, method, path, headers, body):
        if headers.get("tenant-id") == "tenant-1":
            ran.setdefault(headers["request-id"], loop.time())

    for i in range(8):
        await stand_ins.Server(deployment, "ledger", deployment.zones[i % 3], work_s=0.01,
                               slots=16, on_run=on_run).start()
    await deployment.replace_config(ROUTES, SERVICES, TENANTS)
    await deployment.wait_ready()
    await asyncio.sleep(4.5)

    others = [Client(deployment, front) for front in deployment.fronts]
    hot = [Client(deployment, front) for front in deployment.fronts for _ in range(BURST)]
    for client in hot:
        await client.open()
    tasks, over = [], False

    async def other_traffic(client):
        while not over:
            await client.ask("tenant-2", {})
            await asyncio.sleep(FRONTS / OTHER_PER_S)

    async def usual_traffic():
        turn = 0
        while not over:
            tasks.append(asyncio.create_task(hot[(turn * BURST) % len(hot)].ask("tenant-1", sent)))
            turn += 1
            await asyncio.sleep(1 / USUAL_PER_S)

    background = [asyncio.create_task(other_traffic(client)) for client in others]
    if trouble:
        await asyncio.sleep(4)
        in_burst = int(USUAL_PER_S * HOT_X * HOT_S / BURSTS)
        for _ in range(BURSTS):
            deployment.record(f"the clients of tenant-1 send {in_burst} requests at once")
            for client in hot[:in_burst]:
                tasks.append(asyncio.create_task(client.ask("tenant-1", sent)))
            await asyncio.sleep(HOT_S / BURSTS)
    else:
        usual = asyncio.create_task(usual_traffic())
        await asyncio.sleep(4 + HOT_S)
    over = True
    await asyncio.gather(*background, *tasks)
    if not trouble:
        await usual

    window = QUOTA["QuotaWindowS"]
    most = (RATE_PER_S * window + BURST) * (1 + QUOTA["QuotaOvershoot"]) + QUOTA["QuotaSlack"]
    runs = sorted((sent[identity], at) for identity, at in ran.items())
    worst = max((sum(begin <= first and last <= begin + window for first, last in runs)
                 for begin, _ in runs), default=0)
    deployment.record(f"tenant-1: {len(sent)} sent, {len(ran)} ran, at most {worst} in "
                      f"{window} s; allowed {most:.1f}")
    print(f"{worst} in {window} s, allowed {most:.1f}; {len(sent)} sent, {len(ran)} ran")
    return [f"QUOTA: {worst} requests of tenant-1 ran in {window} s"] if worst > most else []


stand_ins.main(case, FOLDER, NAME + "-record.txt", fronts=FRONTS, bounds=QUOTA)
