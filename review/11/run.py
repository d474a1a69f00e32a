"""A front machine that was frozen while a route was added runs orders of that route twice."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))

import deployment as stand_ins  # noqa: E402

FREEZE_S = 6.0
# Sent this long before the machine wakes.
SENT_BEFORE_WAKE_S = 0.5
CLIENTS = 6
# A server takes longer for an order than for a search.
ORDER_WORK_S = 0.8
SEARCH = {"Name": "r-shop", "Host": "shop.example", "PathPrefix": "/shop/",
          "Kind": "idempotent", "TimeoutMs": 10000, "TargetLatencyMs": 600, "Priority": 2,
          "Service": "ledger", "MaxAttempts": 2}
ORDERS = dict(SEARCH, Name="r-orders", PathPrefix="/shop/orders/", Kind="non_idempotent")
SERVICES = [{"Name": "ledger", "HealthPath": "/health", "MaxConnections": 110,
             "Protocol": "h1", "Tls": False}]


class Client:
    """A client that keeps its connection open."""

    def __init__(self, deployment, front):
        self.deployment, self.front = deployment, front

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.front.ip, self.deployment.front_port)

    async def ask(self, method, path, body=b""):
        identity = stand_ins.request_id()
        self.deployment.record(f"client sends {method} {path} {identity} to {self.front.name}")
        self.writer.write(stand_ins.request_bytes(method, path, {
            "Host": "shop.example", "Request-Id": identity, "Deadline-Ms": "10000"}, body))
        try:
            async with asyncio.timeout(10):
                answer = await stand_ins.read_answer(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.deployment.record(f"client has no answer to {identity}")
            return None
        self.deployment.record(f"client gets {answer.status} to {identity}")
        return answer


class Server(stand_ins.Server):
    async def work(self, path):
        await asyncio.sleep(ORDER_WORK_S if path.startswith("/shop/orders/") else self.work_s)


async def case(deployment, trouble):
    loop = asyncio.get_running_loop()
    runs = {}

    def on_run(server, method, path, headers, body):
        if path.startswith("/shop/orders/"):
            runs.setdefault(headers["request-id"], []).append(server.id)

    for i in range(6):
        await Server(deployment, "ledger", deployment.zones[i % 3], on_run=on_run).start()
    await deployment.replace_config([SEARCH], SERVICES)
    await deployment.wait_ready()
    front = deployment.fronts[0]
    clients = [Client(deployment, front) for _ in range(CLIENTS)]
    for client in clients:
        await client.open()

    async def served():
        answer = await clients[0].ask("GET", "/shop/find/warm-up")
        return answer is not None and answer.status == 200
    await deployment.wait_until("the front machine serves", served)
    # Calm, for longer than StabilityWindowMs.
    for _ in range(9):
        await asyncio.gather(*(client.ask("GET", "/shop/find/x") for client in clients))
        await asyncio.sleep(0.5)

    if trouble:
        deployment.record(f"{front.name} freezes for {FREEZE_S} s")
        front.send(signal.SIGSTOP)
    frozen_at = loop.time()
    await asyncio.sleep(0.5)
    await deployment.replace_config([SEARCH, ORDERS], SERVICES)
    acked_at = loop.time()
    await asyncio.sleep(frozen_at + FREEZE_S - SENT_BEFORE_WAKE_S - loop.time())
    waited_ms = 1000 * (loop.time() - acked_at)
    deployment.record(f"{waited_ms:.0f} ms after the acknowledgement of the new route")
    if waited_ms < deployment.bounds["ConfigApplyMs"]:
        raise stand_ins.CannotRun("the acknowledgement came late")
    orders = [asyncio.create_task(client.ask("POST", f"/shop/orders/{i}", b"one head"))
              for i, client in enumerate(clients)]
    await asyncio.sleep(SENT_BEFORE_WAKE_S)
    if trouble:
        front.send(signal.SIGCONT)
        deployment.record(f"{front.name} wakes")
    answers = await asyncio.gather(*orders)
    statuses = [answer.status if answer else None for answer in answers]
    deployment.record(f"answers to orders: {statuses}")
    if not trouble and statuses != [200] * CLIENTS:
        raise stand_ins.CannotRun(f"without the disruption the answers are {statuses}")
    return [f"TWICE: the order {identity} ran at {' and '.join(servers)}"
            for identity, servers in runs.items() if len(servers) > 1]


stand_ins.main(case, FOLDER, fronts=2)
