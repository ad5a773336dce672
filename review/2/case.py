"""Late surplus answers of a full replica: does a request that may run once run twice?"""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (BROKEN, CANNOT_RUN, HELD, Case, Replica, Store, make_configuration, make_id, make_nodes, make_route, read_message, trouble,
                      wait_ready, write_answer, write_request)

SEED = int(os.environ.get("SEED", "1"))
SECONDS = int(os.environ.get("SECONDS", "95"))
NODES = 9
REQUESTS_PER_SECOND = float(os.environ.get("RATE", "115"))
SLOTS, QUEUE, WORK_S = 6, 4, 0.06
# garble, "extra late": share 0.6 of the replicas, x 0.03 of their answers
SURPLUS_PART = float(os.environ.get("PART", "0.03"))


class Shared:
    def __init__(self, record):
        self.record = record
        self.runs = {}
        self.rejected = 0
        self.surplus = 0
        self.matching = 0


class Service(Replica):
    """A replica with slots and a short queue, which rejects what exceeds them."""

    def __init__(self, *args, shared=None, generator=None, is_faulty=False):
        super().__init__(*args)
        self.shared, self.generator, self.is_faulty = shared, generator, is_faulty
        self.free = asyncio.Semaphore(SLOTS)
        self.held = 0
        self.late = {}  # writer: (id, answer) that is sent once more where the next one is due

    async def handle(self, head, body, reader, writer):
        shared = self.shared
        attempt = head.get("x-attempt-id")
        late_id, late = self.late.pop(writer, (None, None))
        if late is not None:
            shared.surplus += 1
            shared.matching += late_id == attempt
            if late_id == attempt:
                shared.record.note("surplus %s sends the answer to the first send of %s once more" % (self.name, attempt))
            writer.write(late)
            await writer.drain()
        if self.held >= SLOTS + QUEUE:
            shared.rejected += 1
            await self.answer(writer, attempt, write_answer(503, [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")]))
            return
        self.held += 1
        try:
            async with self.free:
                shared.runs.setdefault(attempt, []).append(self.name)
                shared.record.note("run %s at %s" % (attempt, self.name))
                if len(shared.runs[attempt]) > 1:
                    shared.record.note("TWICE %s ran at %s" % (attempt, ",".join(shared.runs[attempt])))
                await asyncio.sleep(WORK_S * self.generator.uniform(0.7, 1.3))
        finally:
            self.held -= 1
        await self.answer(writer, attempt, write_answer(200, [("X-Attempt-Id", attempt), ("X-Replica-Seal", self.name)], ("done " + attempt).encode()))

    async def answer(self, writer, attempt, text):
        writer.write(text)
        await writer.drain()
        if self.is_faulty and trouble() and self.generator.random() < SURPLUS_PART:
            self.late[writer] = (attempt, text)


async def consume(case, node, attempt):
    status = "none"
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.ports[0])
        writer.write(write_request("/book/", attempt, 3000))
        head, _ = await asyncio.wait_for(read_message(reader), 4)
        status = head.first[1]
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    case.answers[attempt] = status
    case.record.note("answer %s %s" % (attempt, status))


async def main(case):
    generator = random.Random(SEED)
    case.answers = {}
    shared = Shared(case.record)
    store = await Store().start()
    replicas = [Service(store, "i-book-%d" % i, "booking", "z-a", SLOTS, shared=shared, generator=generator, is_faulty=i == 0) for i in range(1)]
    for replica in replicas:
        await replica.start()
    store.put("keyed.op", "config", make_configuration([make_route("book", "non_idempotent", "booking", timeout_ms=1500, slo_ms=300)], [{"name": "booking", "max_conns": 110}]))
    case.nodes = make_nodes(case.place, store, NODES)
    for node in case.nodes:
        node.start()
    if not await wait_ready(case.nodes):
        case.record.note("the nodes did not get ready")
        return CANNOT_RUN
    tasks = []
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        attempt = make_id(generator)
        case.record.note("sent %s" % attempt)
        tasks.append(asyncio.ensure_future(consume(case, generator.choice(case.nodes), attempt)))
        await asyncio.sleep(generator.expovariate(REQUESTS_PER_SECOND))
    await asyncio.wait(tasks, timeout=10)
    await asyncio.sleep(1)
    twice = [attempt for attempt, runs in shared.runs.items() if len(runs) > 1]
    refused = [attempt for attempt in shared.runs if case.answers.get(attempt) in ("429", "503", "408", "421")]
    for attempt in refused:
        case.record.note("REFUSED %s ran at %s and was answered %s" % (attempt, ",".join(shared.runs[attempt]), case.answers[attempt]))
    counts = {}
    for status in case.answers.values():
        counts[status] = counts.get(status, 0) + 1
    case.record.note("answers %s, rejected by replicas %d, surplus answers %d, of these with the id that was due %d, run twice %d, refused though run %d" % (counts, shared.rejected, shared.surplus, shared.matching, len(twice), len(refused)))
    if counts.get("200", 0) < len(tasks) / 3:
        return CANNOT_RUN
    return BROKEN if twice else HELD


Case(os.path.dirname(os.path.abspath(__file__))).run(main)
