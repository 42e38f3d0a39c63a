"""Stand-ins of the platform's store, of servers and of clients, and entry processes of the project.

The stand-ins run in one process on an asyncio loop; each entry instance is a process of its own,
started with the command of the deploy file. Everything listens on loopback addresses.
"""
import asyncio
import base64
import json
import logging
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def add(self, who, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {who}: {text}\n")
        self.file.flush()


given_ports = set()


def free_port(ip="127.0.0.1", count=1):
    """The first of count free ports in a row, for TCP and UDP, that were not given before."""
    for _ in range(200):
        # Below the range from which the system takes ports of outgoing connections.
        first = random.randrange(10000, 32000)
        held = []
        if given_ports & set(range(first, first + count)):
            continue
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    held.append(one)
                    one.bind((ip, port))
            given_ports.update(range(first, first + count))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no free ports")


class Head:
    def __init__(self, line, headers):
        self.line = line
        self.headers = headers

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """The head of a message; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Head(lines[0], headers)


async def read_body(reader, head):
    if head.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = int(head.get("Content-Length", "0") or 0)
    return await reader.readexactly(length) if length else b""


def message(line, headers, body=b""):
    text = line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store as a log, linearizable, with keyed topics and groups."""

    def __init__(self, record, keep_s=300):
        self.record = record
        self.logs = {}  # (topic, part): [first offset, [(time, record)]]
        self.newest = {}  # topic: {key: (value, offset)}
        self.groups = {}  # group: {"generation", "members": {name: until}, "holder"}
        self.changed = asyncio.Condition()
        self.keep_s = keep_s
        self.server = None
        self.address = ""
        self.waiting = None  # A case may hold calls back here.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, part), [0, []])

    def end(self, topic, part=0):
        log = self.log(topic, part)
        return log[0] + len(log[1])

    def expire(self, log):
        while log[1] and log[1][0][0] + self.keep_s < time.monotonic():
            log[1].pop(0)
            log[0] += 1

    async def append(self, topic, records, part=0):
        offset = self.end(topic, part)
        log = self.log(topic, part)
        for one in records:
            if topic.startswith("keyed."):
                length = one[0]
                key, value = one[1:1 + length], one[1 + length:]
                keys = self.newest.setdefault(topic, {})
                if value:
                    keys[key] = (value, self.end(topic, part))
                else:
                    keys.pop(key, None)
            log[1].append((time.monotonic(), one))
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, topic, key, value):
        """Writes as the operator or a server does; an empty value drops the key."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode() if value else b""
        key = key.encode()
        return await self.append(topic, [bytes([len(key)]) + key + text])

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                method, target, _ = head.line.split(" ", 2)
                if self.waiting is not None:
                    await self.waiting(method, target, body)
                status, answer, kind = await self.call(method, target, body)
                writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", kind)], answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        plain = "application/json"
        reply = lambda status, value: (status, json.dumps(value).encode(), plain)
        topic, part = args.get("topic", ""), int(args.get("part", 0))
        await asyncio.sleep(0.004)
        if path.endswith("/log-append"):
            if topic in ("keyed.op", "keyed.servers"):
                return reply(403, {})
            if "at" in args and int(args["at"]) != self.end(topic, part):
                return reply(412, {"end": self.end(topic, part)})
            records = []
            while body:
                length = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + length])
                body = body[4 + length:]
            offset = await self.append(topic, records, part)
            return reply(200, {"offset": offset, "end": self.end(topic, part)})
        if path.endswith("/log-read"):
            log, start = self.log(topic, part), int(args["from"])
            until = time.monotonic() + int(args.get("wait-ms", 0)) / 1000
            self.expire(log)
            while start >= self.end(topic, part) and time.monotonic() < until:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                    except (asyncio.TimeoutError, ValueError):
                        break
            if start < log[0]:
                return reply(410, {"first": log[0]})
            answer = struct.pack(">QQ", self.end(topic, part), log[0])
            for _, one in log[1][max(0, start - log[0]):]:
                answer += struct.pack(">I", len(one)) + one
            return 200, answer, "application/octet-stream"
        if path.endswith("/log-newest"):
            keys = sorted(self.newest.get(topic, {}).items())
            after = args.get("after", "").encode()
            keys = [entry for entry in keys if not after or entry[0] > after]
            items, size = [], 0
            for key, (value, offset) in keys[:500]:
                size += len(value)
                if items and size > 1 << 20:
                    break
                items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                              "offset": offset})
            return reply(200, {"items": items, "more": len(items) < len(keys),
                               "end": self.end(topic, part)})
        value = json.loads(body) if body else {}
        group = self.groups.setdefault(value.get("group", args.get("group", "")),
                                       {"generation": 0, "members": {}, "holder": None})
        now, name = time.monotonic(), value.get("member")
        if path.endswith("/log-join"):
            if name not in group["members"]:
                group["generation"] += 1
            group["members"][name] = now + value["ttl-ms"] / 1000
            self.settle(group, now)
            rows = [[one, 0, 0] for one in value["topics"]] if group["holder"] == name else []
            return reply(200, {"generation": group["generation"], "ttl-ms": value["ttl-ms"],
                               "parts": rows})
        if path.endswith("/log-leave"):
            if group["members"].pop(name, None):
                group["generation"] += 1
            self.settle(group, now)
            return reply(200, {})
        return reply(404, {})

    @staticmethod
    def settle(group, now):
        for name in [name for name, until in group["members"].items() if until < now]:
            del group["members"][name]
            group["generation"] += 1
        if group["holder"] not in group["members"]:
            group["holder"] = next(iter(group["members"]), None)


class Server:
    """A server: it keeps its entry in the store and hands each request to a handler."""

    def __init__(self, world, name, service, handler, stage=None, slots=16, zone="z1", ip="127.0.0.1"):
        self.world, self.name, self.service, self.handler = world, name, service, handler
        self.stage, self.slots, self.zone, self.ip = stage, slots, zone, ip
        self.state, self.seq, self.running = "ready", 0, 0
        self.runs = []  # (request id, method, target, head)
        self.server = self.beating = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=4 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        self.beating = asyncio.create_task(self.beat())
        return self

    def entry(self):
        self.seq += 1
        value = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "cold-remaining-ms": 0, "seq": self.seq}
        if self.stage:
            value |= {"stage": self.stage,
                      "models": [{"name": "m", "version": 1, "adapters": []}]}
        return value

    async def beat(self):
        while True:
            await self.world.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(1.2)

    def ran(self, head, body=b""):
        """The server begins to work on the request."""
        method, target, _ = head.line.split(" ", 2)
        self.runs.append((head.get("X-Request-Id"), method, target, head))
        self.world.record.add(self.name, f"runs {head.get('X-Request-Id')} {method} {target} "
                                         f"body {len(body)} bytes")

    def signed(self, head, extra=()):
        return [("X-Request-Id", head.get("X-Request-Id")),
                ("X-Response-Signature", "s." + head.get("X-Request-Id")),
                ("X-Server-Load", f"{self.running},0,{self.slots}"), *extra]

    def not_executed(self, status, head, extra=()):
        return message(f"HTTP/1.1 {status} X", [("X-Request-Id", head.get("X-Request-Id")),
                                               ("X-Not-Executed", "1"), *extra])

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                target = head.get("X-Target-Instance")
                if target and target != self.name:
                    writer.write(message("HTTP/1.1 421 X", [("X-Instance-Id", self.name)]))
                elif "/almondridge/report" in head.line:
                    state = {"stage": self.stage, "models": [], "busy": False, "seq": 0,
                             "waiting": 0, "running": self.running, "kv-used": 0,
                             "kv-total": 400000, "handles": 0}
                    writer.write(message("HTTP/1.1 200 OK", [], json.dumps(state).encode()))
                elif "/almondridge/" in head.line:
                    writer.write(message("HTTP/1.1 200 OK", []))
                else:
                    self.running += 1
                    try:
                        if not await self.handler(self, head, body, reader, writer):
                            break
                    finally:
                        self.running -= 1
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def render(template, fields):
    """Fills in the settings template as the platform's page on it says."""

    def look(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else (
                    value[int(part)] if isinstance(value, list) and part.isdigit() else None)
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        section = re.compile(r"\{\{([#^])([\w.-]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def one(match):
            value = look(match[2], scopes)
            shown = bool(value) if match[1] == "#" else not value
            return fill(match[3], scopes) if shown else ""

        def plain(match):
            value = look(match[1], scopes)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", plain, section.sub(one, text))

    return fill(template, [fields])


class Entry:
    """An entry instance: a process of its own, with the command of the deploy file."""

    def __init__(self, world, name, ip, zone="z1", bootstrap=True, bounds=None):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        role = next(iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()))
        self.command, self.template = role["run"].split(), (ROOT / role["template"]).read_text()
        self.front, self.ready_port = free_port(ip), free_port(ip)
        self.peer = free_port(ip, 16)
        self.bootstrap, self.bounds = bootstrap, bounds or {}
        self.process = None

    def fields(self):
        return {
            "node-name": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready_port}"},
            "internal-ports": [self.peer, self.peer + 15], "bootstrap": self.bootstrap,
            "limits": {"link-mbps": 1000.0, "max-fds": 4100},
            "platform": {"address": self.world.store.address},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream",
                          "engine", "platform"],
            "bounds": {"grace-s": 8, "lease-ms": 3000, "drain-ms": 2000, "config-apply-ms": 2000,
                       "require-fence": True, "retry-budget-ratio": 0.2, "retry-window-s": 10,
                       "budget-slack": 58} | self.bounds,
        }

    def start(self):
        path = Path(self.world.folder) / f"{self.name}.json"
        path.write_text(render(self.template, self.fields()))
        self.log = open(Path(self.world.folder) / f"{self.name}.log", "a")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=subprocess.STDOUT,
                                        env=environment | {"ALMONDRIDGE_SETTINGS": str(path)})
        self.world.record.add(self.name, f"started, process {self.process.pid}")

    def signal(self, number):
        self.world.record.add(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b"GET /almondridge/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head.line
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    """All that a case starts; ended by close()."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.scratch = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = self.scratch.name
        self.store = Store(self.record)
        self.entries, self.servers = [], []

    async def config(self, routes, services, version=1, **more):
        value = {"version": version, "routes": routes, "services": services,
                 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                            "header-timeout-ms": 3000, "idle-timeout-ms": 15000}} | more
        await self.store.put("keyed.op", "config", value)

    async def server(self, *args, **named):
        one = await Server(self, *args, **named).start()
        self.servers.append(one)
        return one

    async def entry(self, name, ip="127.0.0.1", **named):
        one = Entry(self, name, ip, **named)
        one.start()
        self.entries.append(one)
        return one

    async def all_ready(self, within=20):
        until = time.monotonic() + within
        for one in self.entries:
            while not await one.ready():
                if time.monotonic() > until or one.process.poll() is not None:
                    raise CannotRun(f"{one.name} did not become ready")
                await asyncio.sleep(0.1)

    def close(self):
        for one in self.entries:
            if one.process is not None and one.process.poll() is None:
                one.process.kill()
                one.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for one in self.entries:
                sys.stderr.write(Path(one.log.name).read_text())
        self.scratch.cleanup()


class CannotRun(Exception):
    pass


def run(case, folder):
    """Runs case(world); exits with 1 if it returns True (the rule was broken), 0 if not, 2 if it
    could not run."""
    # Connections that are open at the end of a case are of no interest.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)
    world = World(folder)

    async def whole():
        await world.store.start()
        return await asyncio.wait_for(case(world), 110)

    try:
        broken = asyncio.run(whole())
    except (CannotRun, OSError, asyncio.TimeoutError) as failure:
        world.record.add("case", f"could not run: {failure!r}")
        print("could not run:", repr(failure))
        world.close()
        sys.exit(2)
    world.close()
    world.record.add("case", "the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
