"""Seeds that are restarted in turn: do streams go on that consumers take up at another node?"""
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (BROKEN, CANNOT_RUN, HELD, Case, Replica, Store, make_configuration, make_id, make_nodes, make_route, read_head, read_message,
                      trouble, wait_ready, write_request)

SEED = int(os.environ.get("SEED", "1"))
ZONES = ("z-a", "z-b", "z-c")
NODES = 6  # two in each zone; the first of each zone is a seed
GAP_S = 1.0  # roll_term: one at a time, each 1.0 s; 3 of 6 nodes are a share of 0.5
START_DELAY_S = 1.0  # the supervisor starts what has ended in rounds; here 1.0 s after the third end, 3.0 s after the first
CONTACT_S = 3.0
RESET_EVERY_S = 2.0  # reset_conns: one node of six, half of its consumers' channels
RESETS = 12
STREAMS_PER_SECOND = 14
EVENTS, EVENT_GAP_S = 30, 0.1
TIMEOUT_MS = 8000


class Engine(Replica):
    async def handle(self, head, body, reader, writer):
        attempt = head.get("x-attempt-id")
        first = int(head.get("last-event-id", "0") or "0") + 1
        await asyncio.sleep(0.05)
        writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % (attempt, self.name)).encode())
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Stream:
    """One try of a consumer."""

    def __init__(self, node, attempt):
        self.node, self.attempt = node, attempt
        self.writer = None
        self.status = "none"
        self.last = 0
        self.is_whole = False
        self.versions = set()
        self.was_reset = False

    async def read(self, headers):
        try:
            reader, self.writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.node.ports[0]), 1)
            self.writer.write(write_request("/recap/", self.attempt, TIMEOUT_MS, headers))
            head = await asyncio.wait_for(read_head(reader), 9)
            self.status = head.first[1]
            while head.get("transfer-encoding"):
                event = (await asyncio.wait_for(reader.readuntil(b"\r\n"), 9)).strip()
                size = int(event, 16)
                if size == 0:
                    self.is_whole = True
                    break
                text = (await asyncio.wait_for(reader.readexactly(size + 2), 9)).decode()
                for line in text.split("\n"):
                    if line.startswith("id: "):
                        self.last = int(line[4:])
                    elif line.startswith("data: "):
                        self.versions.add(line[6:])
            self.writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass


async def consume(case, generator, zone):
    """A consumer of a zone: its new channel goes to one node of the zone, its retry to the other."""
    pair = [node for node in case.nodes if node.zone == zone]
    if generator.random() < 0.5:
        pair.reverse()
    begun = time.monotonic()
    stream = Stream(pair[0], make_id(generator))
    case.record.note("sent %s to %s" % (stream.attempt, stream.node.name))
    case.open.add(stream)
    await stream.read([])
    case.open.discard(stream)
    case.record.note("answer %s %s, last event %d%s" % (stream.attempt, stream.status, stream.last, ", whole" if stream.is_whole else ""))
    if begun > case.counts_from and is_in_touch(case, pair[0], begun):
        case.new.append(stream.status == "200")
    if not stream.was_reset or stream.last == 0:
        return
    begun = time.monotonic()
    again = Stream(pair[1], make_id(generator))
    case.record.note("sent %s to %s, takes up %s after event %d" % (again.attempt, again.node.name, stream.attempt, stream.last))
    await again.read([("Last-Event-Id", str(stream.last)), ("Resumes", stream.attempt)])
    goes_on = again.status == "200" and (again.last > stream.last or again.is_whole)
    case.record.note("answer %s %s, last event %d, the stream %s" % (again.attempt, again.status, again.last, "goes on" if goes_on else "does not go on"))
    if begun > case.counts_from and is_in_touch(case, pair[1], begun):
        case.taken_up.append(goes_on)


def is_in_touch(case, node, at):
    return at - case.reset_at.get(node.name, 0) > CONTACT_S


async def stop(case, node):
    """Planned work: SIGTERM, and the end of the process."""
    node.process.send_signal(signal.SIGTERM)
    case.record.note("SIGTERM to %s" % node.name)
    while node.process.poll() is None:
        await asyncio.sleep(0.02)
    case.record.note("%s ended with %d" % (node.name, node.process.returncode))


async def reset_channels(case, generator):
    for number in range(RESETS):
        node = case.nodes[number % NODES]
        case.reset_at[node.name] = time.monotonic()
        streams = [stream for stream in case.open if stream.node is node and stream.last > 0]
        for stream in streams[:(len(streams) + 1) // 2]:
            stream.was_reset = True
            stream.writer.transport.abort()
        case.record.note("reset of half of the channels at %s" % node.name)
        await asyncio.sleep(RESET_EVERY_S)


async def count_live(node):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.ports[3])
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        _, body = await asyncio.wait_for(read_message(reader), 1)
        writer.close()
        return [int(float(line.split()[-1])) for line in body.decode().split("\n") if "live_nodes" in line and not line.startswith("#")]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return []


async def main(case):
    generator = random.Random(SEED)
    case.open, case.new, case.taken_up, case.reset_at, case.counts_from = set(), [], [], {}, float("inf")
    store = await Store().start()
    for number in range(6):
        await Engine(store, "i-engine-%d" % number, "scribe", ZONES[number % 3], 64, "v1" if number < 3 else "v2").start()
    route = make_route("recap", "streaming", "scribe", timeout_ms=TIMEOUT_MS, slo_ms=1600, resumable=True, max_attempts=2)
    store.put("keyed.op", "config", make_configuration([route], [{"name": "scribe", "max_conns": 370, "engine": {}}]))
    case.nodes = make_nodes(case.place, store, NODES, zones=ZONES)
    for node in case.nodes:
        node.start()
    if not await wait_ready(case.nodes):
        case.record.note("the nodes did not get ready")
        return CANNOT_RUN
    await asyncio.sleep(5)
    if trouble():
        work = []
        for node in case.nodes[:3]:
            work.append(asyncio.ensure_future(stop(case, node)))
            await asyncio.sleep(GAP_S)
        await asyncio.wait(work, timeout=20)
        await asyncio.sleep(START_DELAY_S)
        for node in case.nodes[:3]:
            node.start()
            case.record.note("%s starts" % node.name)
    if not await wait_ready(case.nodes):
        case.record.note("the nodes did not get ready after the planned work")
        return CANNOT_RUN
    await asyncio.sleep(CONTACT_S + 1)
    case.counts_from = time.monotonic()
    tasks = []
    resets = None
    until = time.monotonic() + 3 + RESETS * RESET_EVERY_S
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(consume(case, generator, generator.choice(ZONES))))
        await asyncio.sleep(generator.expovariate(STREAMS_PER_SECOND))
        if resets is None and time.monotonic() > case.counts_from + 3:
            resets = asyncio.ensure_future(reset_channels(case, generator))
    case.record.note("live nodes that each node knows of: %s" % [await count_live(node) for node in case.nodes])
    await asyncio.wait(tasks, timeout=12)
    begin = sum(case.new) / max(1, len(case.new))
    goes_on = sum(case.taken_up) / max(1, len(case.taken_up))
    case.record.note("new streams: %d of %d begin; streams taken up: %d of %d go on" % (sum(case.new), len(case.new), sum(case.taken_up), len(case.taken_up)))
    if len(case.new) < 50 or len(case.taken_up) < 12:
        return CANNOT_RUN
    return BROKEN if goes_on < begin / 2 else HELD


Case(os.path.dirname(os.path.abspath(__file__))).run(main)
