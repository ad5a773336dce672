"""Replicas that send bytes that are no answer: what do consumers read on their channels?"""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (BROKEN, CANNOT_RUN, HELD, Case, Replica, Store, make_configuration, make_id, make_nodes, make_route, trouble, wait_ready,
                      write_answer, write_request)

SEED = int(os.environ.get("SEED", "1"))
SECONDS = 70
CONSUMERS, REQUESTS_PER_SECOND = 40, 40
WORK_S = 0.06
REPLICAS = 3
# garble: one of three replicas, x 0.02 of its answers
SPOILT_PART = 0.02


class Shared:
    def __init__(self, record):
        self.record = record
        self.spoilt = {"status": 0, "body": 0}
        self.earlier = {}  # replica: its answer to the request before


class Service(Replica):
    def __init__(self, *args, shared=None, generator=None, is_faulty=False):
        super().__init__(*args)
        self.shared, self.generator, self.is_faulty = shared, generator, is_faulty
        self.free = asyncio.Semaphore(self.slots)

    async def handle(self, head, body, reader, writer):
        attempt = head.get("x-attempt-id")
        async with self.free:
            await asyncio.sleep(WORK_S)
        text = write_answer(200, [("X-Attempt-Id", attempt), ("X-Replica-Seal", self.name)], ("done " + attempt).encode())
        earlier = self.shared.earlier.get(self.name, b"")
        self.shared.earlier[self.name] = text
        if self.is_faulty and trouble() and self.generator.random() < SPOILT_PART:
            text = self.spoil(attempt, earlier)
        writer.write(text)
        await writer.drain()

    def spoil(self, attempt, earlier):
        headers = [("X-Attempt-Id", attempt), ("X-Replica-Seal", self.name)]
        if self.generator.random() < 0.5:
            self.shared.spoilt["status"] += 1
            self.shared.record.note("spoilt %s answers %s with status 0" % (self.name, attempt))
            return write_answer(0, headers, b"xxxx")
        # An answer of this status ends with its head. What lies behind it is the answer to another request.
        self.shared.spoilt["body"] += 1
        self.shared.record.note("spoilt %s answers %s with 204 and its answer to the request before behind it" % (self.name, attempt))
        return write_answer(204, headers, earlier)


class Consumer:
    """Reads answers as RFC 9112 says: a status has three digits, and an answer of status 204 has no body."""

    def __init__(self, case, node, generator):
        self.case, self.node, self.generator = case, node, generator
        self.channel = None

    def mixed(self, attempt, text):
        self.case.mixed.append(attempt)
        self.case.record.note("MIXED %s %s" % (attempt, text))
        self.close()

    def close(self):
        if self.channel is not None:
            self.channel[1].close()
        self.channel = None

    async def ask(self):
        attempt = make_id(self.generator)
        try:
            if self.channel is None:
                self.channel = await asyncio.open_connection("127.0.0.1", self.node.ports[0])
            reader, writer = self.channel
            self.case.record.note("sent %s" % attempt)
            writer.write(write_request("/card/", attempt, 3000))
            raw = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 4)).decode("latin-1")
            lines = raw.split("\r\n")
            words = lines[0].split(" ")
            if words[0] != "HTTP/1.1" or len(words) < 2 or len(words[1]) != 3 or not words[1].isdigit() or words[1] < "100":
                self.mixed(attempt, "got bytes that are no answer in the protocol: %s" % lines[0][:60])
                return
            headers = dict((line.split(":", 1)[0].strip().lower(), line.split(":", 1)[1].strip()) for line in lines[1:] if ":" in line)
            if headers.get("x-attempt-id", attempt) != attempt:
                self.mixed(attempt, "got the answer %s to the request %s" % (words[1], headers["x-attempt-id"]))
                return
            length = 0 if words[1] in ("204", "304") else int(headers.get("content-length", "0"))
            body = await asyncio.wait_for(reader.readexactly(length), 4)
            if words[1] == "200" and body != ("done " + attempt).encode():
                self.mixed(attempt, "got another body")
                return
            self.case.record.note("answer %s %s" % (attempt, words[1]))
            self.case.counts[words[1]] = self.case.counts.get(words[1], 0) + 1
            if headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.case.record.note("answer %s none (%s)" % (attempt, type(error).__name__))
            self.case.counts["none"] = self.case.counts.get("none", 0) + 1
            self.close()

    async def live(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.generator.expovariate(REQUESTS_PER_SECOND / CONSUMERS))
            await self.ask()


async def main(case):
    generator = random.Random(SEED)
    case.counts, case.mixed = {}, []
    shared = Shared(case.record)
    store = await Store().start()
    replicas = [Service(store, "i-card-%d" % i, "parlour", "z-a", 6, shared=shared, generator=generator, is_faulty=i == 0) for i in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    store.put("keyed.op", "config", make_configuration([make_route("card", "non_idempotent", "parlour", timeout_ms=1500, slo_ms=300)], [{"name": "parlour", "max_conns": 110}]))
    case.nodes = make_nodes(case.place, store, 3)
    for node in case.nodes:
        node.start()
    if not await wait_ready(case.nodes):
        case.record.note("the nodes did not get ready")
        return CANNOT_RUN
    consumers = [Consumer(case, case.nodes[i % 3], random.Random(generator.random())) for i in range(CONSUMERS)]
    until = time.monotonic() + SECONDS
    await asyncio.wait([asyncio.ensure_future(consumer.live(until)) for consumer in consumers], timeout=SECONDS + 10)
    case.record.note("answers %s, spoilt answers %s, consumers that got what is not their answer %d" % (case.counts, shared.spoilt, len(case.mixed)))
    if case.counts.get("200", 0) < 200:
        return CANNOT_RUN
    return BROKEN if case.mixed else HELD


Case(os.path.dirname(os.path.abspath(__file__))).run(main)
