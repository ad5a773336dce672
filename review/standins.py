"""Stand-ins for the platform's store, replicas, consumers and the supervisor of a small deployment, on loopback.

Standard library only. They follow PROTOCOL.md: every part that a case doesn't disturb behaves soundly.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "calicoscale")
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt in the folder of the case: one line per event, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="ascii", errors="replace")
        self.started = time.monotonic()

    def note(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))

    def close(self):
        self.file.close()


class Head:
    def __init__(self, first, headers):
        self.first = first.split(" ", 2)
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_message(reader):
    head = await read_head(reader)
    length = int(head.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return head, body


def write_answer(status, headers, body=b""):
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


class Server:
    """Accepts connections and passes each to serve(); can be stopped, which resets nothing by itself."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: keyed topics with one partition."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def _newest(self, query):
        records = self.topics.get(query["topic"], [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        keys = sorted(key for key in newest if key > query.get("since_rev", ""))
        page = keys[:500]
        items = [{"private_key": key, "value": base64.b64encode(newest[key][0].encode()).decode(), "offset": newest[key][1]} for key in page]
        return json.dumps({"items": items, "has_more": len(keys) > len(page), "end_offset": len(records)}).encode()

    async def _read(self, query):
        offset = int(query["source"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            records = self.topics.get(query["topic"], [])
            if offset > len(records):
                return 410, json.dumps({"first_offset": 0}).encode()
            left = until - time.monotonic()
            if offset < len(records) or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[offset:]:
            raw = bytes([len(key)]) + key.encode() + value.encode()
            body += len(raw).to_bytes(4, "big") + raw
        return 200, body

    def _append(self, query, body):
        records = self.topics.setdefault(query["topic"], [])
        if "timestamp" in query and int(query["timestamp"]) != len(records):
            return 412, json.dumps({"end_offset": len(records)}).encode()
        first = len(records)
        at = 0
        while at < len(body):
            size = int.from_bytes(body[at:at + 4], "big")
            raw = body[at + 4:at + 4 + size]
            at += 4 + size
            self.put(query["topic"], raw[1:1 + raw[0]].decode("latin-1"), raw[1 + raw[0]:].decode("latin-1"))
        return 200, json.dumps({"offset": first, "end_offset": len(records)}).encode()

    async def serve(self, reader, writer):
        while True:
            head, body = await read_message(reader)
            url = urllib.parse.urlsplit(head.first[1])
            query = dict(urllib.parse.parse_qsl(url.query))
            await asyncio.sleep(0.004)
            if url.path == "/log-newest":
                status, answer = 200, self._newest(query)
            elif url.path == "/log-read":
                status, answer = await self._read(query)
            elif url.path == "/log-append":
                status, answer = self._append(query, body)
            else:
                status, answer = 404, b""
            writer.write(write_answer(status, [], answer))
            await writer.drain()


class Replica(Server):
    """A replica: registers itself, keeps its entry fresh, and serves one request at a time on a channel."""

    def __init__(self, store, name, service, zone="z-a", slots=8, version="v1"):
        super().__init__()
        self.store, self.name, self.service, self.zone, self.slots, self.version = store, name, service, zone, slots, version
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.beat = None

    async def start(self, port=0):
        await super().start(port)
        self.beat = asyncio.ensure_future(self._beat())
        return self

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(1.2)

    def register(self, state="ready"):
        self.sequence += 1
        self.store.put("keyed.servers", self.name, json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": state, "cold_left_ms": 0, "seq_no": self.sequence, "born": self.born}))

    def is_other(self, head):
        return head.get("x-expect-replica", self.name) != self.name

    async def serve(self, reader, writer):
        while True:
            head, body = await read_message(reader)
            if self.is_other(head):
                writer.write(write_answer(421, [("X-Replica-Id", self.name), ("X-Attempt-Id", head.get("x-attempt-id"))]))
                await writer.drain()
                continue
            await self.handle(head, body, reader, writer)

    async def handle(self, head, body, reader, writer):
        raise NotImplementedError


class Node:
    """One entry node: the program of the deploy file with settings as deploy/settings.json.in writes them."""

    def __init__(self, place, name, store, peers, ports, zone="z-a", memory_mb=260, settings=None):
        self.name, self.zone, self.ports, self.memory_mb = name, zone, ports, memory_mb
        self.file = os.path.join(place, name + ".json")
        self.log = open(os.path.join(place, name + ".log"), "ab")
        self.process = None
        document = {
            "vm": name, "zone": zone, "region": "r-1",
            "caller_address": "127.0.0.1:%d" % ports[0], "readiness_address": "127.0.0.1:%d" % ports[1],
            "link_address": "127.0.0.1:%d" % ports[2], "metrics_address": "127.0.0.1:%d" % ports[3],
            "store_address": store.address,
            "store": {"reads_per_second": 2000, "read_mb_per_second": 80.0, "topic_mb_per_second": 20.0},
            "peers": peers, "retries": {"ratio": 0.2, "slack": 58, "window_seconds": 10},
            "configuration_apply_ms": 2000, "regions": {"z-a": "r-1", "z-b": "r-1", "z-c": "r-1"},
            "memory_mb": memory_mb, "descriptors": 4100, "link_mbps": 1000.0, "cores": 0.25, "stop_grace_seconds": 8}
        document.update(settings or {})
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(document, out)

    def start(self):
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen([PROGRAM, "gateway", "--settings", self.file], cwd=ROOT, env=keep, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    def get_memory_mb(self):
        """Resident memory of the process, in megabytes of a million bytes."""
        with open("/proc/%d/statm" % self.process.pid, encoding="ascii") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def find_ports(count):
    """Free ports below those that the system gives to outgoing connections, so that a node that starts again finds its own free."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(12000, 32000)
        with socket.socket() as made:
            try:
                made.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def make_nodes(place, store, count, zones=("z-a",), **more):
    all_ports = find_ports(4 * count)
    ports = [all_ports[4 * i:4 * i + 4] for i in range(count)]
    links = ["127.0.0.1:%d" % four[2] for four in ports]
    return [Node(place, "edge-%d" % i, store, links[:3], ports[i], zone=zones[i % len(zones)], **more) for i in range(count)]


async def is_ready(node):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.ports[1]), 1)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        head, _ = await asyncio.wait_for(read_message(reader), 1)
        writer.close()
        return head.first[1] == "200"
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


async def wait_ready(nodes, seconds=15):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all([await is_ready(node) for node in nodes]):
            return True
        await asyncio.sleep(0.1)
    return False


def make_configuration(routes, services, version=1):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 65536, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}]})


def make_route(name, kind, service, **more):
    route = {"name": name, "host": "h.example", "path_prefix": "/%s/" % name, "route_kind": kind, "service": service, "timeout_ms": 3000,
             "slo_ms": 1000, "priority": 1, "max_attempts": 1, "public": False}
    route.update(more)
    return route


def write_request(path, attempt, deadline_ms, headers=(), body=b"x", method="POST"):
    text = "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n" % (method, path, attempt, deadline_ms)
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


def make_id(generator):
    return "%016x" % generator.getrandbits(64)


class Case:
    """Runs a case: a temporary folder, the record, and the end of all processes whatever happens."""

    def __init__(self, folder):
        self.folder = folder
        self.place = tempfile.mkdtemp(prefix="calicoscale-review-")
        self.record = Record(folder)
        self.nodes = []

    def run(self, main):
        if not os.access(PROGRAM, os.X_OK):
            print("target/calicoscale is missing: run the build of the deploy file first")
            sys.exit(CANNOT_RUN)
        signal.signal(signal.SIGTERM, lambda *_: self.finish(CANNOT_RUN))
        watchdog = threading.Timer(118, lambda: self.finish(CANNOT_RUN))
        watchdog.daemon = True
        watchdog.start()
        asyncio.run(self._run(main))

    async def _run(self, main):
        task = asyncio.ensure_future(main(self))
        done, _ = await asyncio.wait([task], timeout=114)
        code = CANNOT_RUN
        if not done:
            self.record.note("the case took too long")
        elif task.exception() is not None:
            self.record.note("could not run: %r" % task.exception())
        else:
            code = task.result()
        self.finish(code)

    def finish(self, code):
        """Ends all processes and this one, whatever its tasks still do."""
        for node in self.nodes:
            node.end()
        self.record.note("exit %d" % code)
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.place, flush=True)
        else:
            shutil.rmtree(self.place, ignore_errors=True)
        os._exit(code)
