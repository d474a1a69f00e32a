"""A tenant that is removed and restored gets its burst anew at each front machine."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))

import deployment as stand_ins  # noqa: E402

FRONTS = 9
# Of the sheet of the deployment with tenants: QuotaWindowS, QuotaOvershoot, QuotaSlack.
QUOTA = {"QuotaWindowS": 5, "QuotaOvershoot": 0.1, "QuotaSlack": 20}
RATE_PER_S, BURST = 20, 20
# The quota is 1.6 times what the tenant usually sends (quota_x in the site file).
USUAL_PER_S = RATE_PER_S / 1.6
USUAL_S = 22.0
# hot_tenant in the site file: up to 7.5 times the usual, for up to 6.5 s.
HOT_PER_S, HOT_S = 60, 4.05
REMOVED_S = 1.5
TENANT = {"Name": "tenant-1", "ApiKeys": ["k-11aa"], "Priority": 1, "RatePerS": RATE_PER_S,
          "Burst": BURST}
OTHER = {"Name": "tenant-2", "ApiKeys": ["k-22bb"], "Priority": 1, "RatePerS": 1000,
         "Burst": 1000}
ROUTES = [{"Name": "r-ledger", "Host": "ledger.example", "PathPrefix": "/q/",
           "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 500, "Priority": 2,
           "Service": "ledger", "MaxAttempts": 2}]
SERVICES = [{"Name": "ledger", "HealthPath": "/health", "MaxConnections": 460,
             "Protocol": "h1", "Tls": False}]


class Client:
    """The tenant's client that the balancer sends to one front machine."""

    def __init__(self, deployment, front):
        self.deployment, self.front, self.idle = deployment, front, []

    async def ask(self, sent):
        identity = stand_ins.request_id()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(4):
                if self.idle:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(
                        self.front.ip, self.deployment.front_port)
                sent[identity] = loop.time()
                writer.write(stand_ins.request_bytes("GET", "/q/" + identity, {
                    "Host": "ledger.example", "Request-Id": identity, "Deadline-Ms": "1500",
                    "Authorization": "Token " + TENANT["ApiKeys"][0]}))
                answer = await stand_ins.read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        if answer.header("connection").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        self.deployment.record(f"{identity} sent to {self.front.name}, answer {answer.status}")


async def case(deployment, trouble):
    loop = asyncio.get_running_loop()
    sent, ran, tasks = {}, {}, []

    def on_run(server, method, path, headers, body):
        if headers.get("tenant-id") == "tenant-1":
            ran.setdefault(headers["request-id"], loop.time())

    for i in range(6):
        await stand_ins.Server(deployment, "ledger", deployment.zones[i % 3], work_s=0.01,
                               slots=8, on_run=on_run).start()
    await deployment.replace_config(ROUTES, SERVICES, [TENANT, OTHER])
    await deployment.wait_ready()
    await asyncio.sleep(4.5)
    clients = [Client(deployment, front) for front in deployment.fronts]

    async def send(per_s, seconds, client_at):
        begin, count = loop.time(), 0
        while loop.time() < begin + seconds:
            tasks.append(asyncio.create_task(client_at(count, loop.time() - begin).ask(sent)))
            count += 1
            await asyncio.sleep(max(0.0, begin + count / per_s - loop.time()))

    deployment.record(f"tenant-1 sends its usual {USUAL_PER_S:.1f} a second")
    await send(USUAL_PER_S, USUAL_S, lambda count, _: clients[count % FRONTS])
    if trouble:
        await deployment.replace_config(ROUTES, SERVICES, [OTHER])
        await asyncio.sleep(REMOVED_S)
        await deployment.replace_config(ROUTES, SERVICES, [TENANT, OTHER])
    else:
        await asyncio.sleep(REMOVED_S)
    # The configuration is in force everywhere, and a window has passed since.
    await asyncio.sleep(deployment.bounds["ConfigApplyMs"] / 1000 + QUOTA["QuotaWindowS"] + 0.5)
    deployment.record(f"tenant-1 sends {HOT_PER_S} a second for {HOT_S} s, client after client")
    await send(HOT_PER_S, HOT_S,
               lambda _, passed: clients[min(FRONTS - 1, int(passed / HOT_S * FRONTS))])
    await asyncio.gather(*tasks)

    window = QUOTA["QuotaWindowS"]
    most = (RATE_PER_S * window + BURST) * (1 + QUOTA["QuotaOvershoot"]) + QUOTA["QuotaSlack"]
    runs = sorted((sent[identity], at) for identity, at in ran.items())
    worst = max((sum(begin <= first and last <= begin + window for first, last in runs)
                 for begin, _ in runs), default=0)
    deployment.record(f"tenant-1: {len(sent)} sent, {len(ran)} ran, at most {worst} in "
                      f"{window} s; allowed {most:.1f}")
    print(f"{worst} in {window} s, allowed {most:.1f}; {len(sent)} sent, {len(ran)} ran")
    return [f"QUOTA: {worst} requests of tenant-1 ran in {window} s"] if worst > most else []


stand_ins.main(case, FOLDER, fronts=FRONTS, bounds=QUOTA)
