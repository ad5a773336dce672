"""Entries from another writer, with fields missing: does a server get work that nobody sent to it?"""
import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (BROKEN, CANNOT_RUN, HELD, Case, Replica, Store, make_configuration, make_id, make_nodes, make_route, read_message, trouble,
                      wait_ready, write_answer, write_request)

SEED = int(os.environ.get("SEED", "1"))
SECONDS = 40
REQUESTS_PER_SECOND = 20
WORK_S = 0.06
ENTRY_EVERY_S = 5.0
SERVICES = {"card": "parlour", "staff": "concierge"}


class Shared:
    def __init__(self, record):
        self.record = record
        self.strayed = []
        self.entries = 0


class Service(Replica):
    def __init__(self, *args, shared=None):
        super().__init__(*args)
        self.shared = shared

    async def handle(self, head, body, reader, writer):
        attempt = head.get("x-attempt-id")
        route = head.first[1].split("/")[1]
        self.shared.record.note("run %s %s at %s of %s" % (route, attempt, self.name, self.service))
        if SERVICES[route] != self.service:
            self.shared.strayed.append(attempt)
            self.shared.record.note("ROUTE %s of the route %s to %s ran at %s of %s" % (attempt, route, SERVICES[route], self.name, self.service))
        await asyncio.sleep(WORK_S)
        writer.write(write_answer(200, [("X-Attempt-Id", attempt), ("X-Replica-Seal", self.name)], ("done " + attempt).encode()))
        await writer.drain()


async def write_foreign_entries(shared, store, replica):
    """Another writer leaves an entry under the replica's id, which names another service and has fields missing."""
    while True:
        await asyncio.sleep(ENTRY_EVERY_S)
        entry = {"service": "parlour", "address": replica.address, "zone": replica.zone, "state": "ready", "born": replica.born}
        shared.entries += 1
        shared.record.note("entry of another writer %s %s" % (replica.name, json.dumps(entry)))
        store.put("keyed.servers", replica.name, json.dumps(entry))


async def consume(case, node, route, attempt):
    status = "none"
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.ports[0])
        writer.write(write_request("/%s/" % route, attempt, 3000))
        head, _ = await asyncio.wait_for(read_message(reader), 4)
        status = head.first[1]
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    case.counts[status] = case.counts.get(status, 0) + 1
    case.record.note("answer %s %s" % (attempt, status))


async def main(case):
    generator = random.Random(SEED)
    case.counts = {}
    shared = Shared(case.record)
    store = await Store().start()
    replicas = [Service(store, "i-card-%d" % i, "parlour", "z-a", 6, shared=shared) for i in range(3)]
    replicas += [Service(store, "i-staff-%d" % i, "concierge", "z-a", 6, shared=shared) for i in range(3)]
    for replica in replicas:
        await replica.start()
    routes = [make_route("card", "non_idempotent", "parlour", timeout_ms=1500, slo_ms=300), make_route("staff", "non_idempotent", "concierge", timeout_ms=1500, slo_ms=300)]
    store.put("keyed.op", "config", make_configuration(routes, [{"name": "parlour", "max_conns": 110}, {"name": "concierge", "max_conns": 110}]))
    case.nodes = make_nodes(case.place, store, 3)
    for node in case.nodes:
        node.start()
    if not await wait_ready(case.nodes):
        case.record.note("the nodes did not get ready")
        return CANNOT_RUN
    if trouble():
        asyncio.ensure_future(write_foreign_entries(shared, store, replicas[-1]))
    tasks = []
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        attempt = make_id(generator)
        route = generator.choice(list(SERVICES))
        case.record.note("sent %s %s" % (route, attempt))
        tasks.append(asyncio.ensure_future(consume(case, generator.choice(case.nodes), route, attempt)))
        await asyncio.sleep(generator.expovariate(REQUESTS_PER_SECOND))
    await asyncio.wait(tasks, timeout=10)
    case.record.note("answers %s, entries of another writer %d, requests run by a service that they don't go to %d" % (case.counts, shared.entries, len(shared.strayed)))
    if case.counts.get("200", 0) < len(tasks) / 2:
        return CANNOT_RUN
    return BROKEN if shared.strayed else HELD


Case(os.path.dirname(os.path.abspath(__file__))).run(main)
