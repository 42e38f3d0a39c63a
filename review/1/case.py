"""An instance that loses its way to the servers refuses requests, and peers run them all the same.

WAITING: requests that wait for a channel (12). FREEZE=0: without the short freeze.
"""
import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))
import world as w

INSTANCES = 9
CUT_S = 1.5
WAITING = int(os.environ.get("WAITING", "12"))
FREEZE = w.TROUBLE and os.environ.get("FREEZE", "1") != "0"


class QueueServer(w.Server):
    """A server whose queue of new channels can be full; open channels go on meanwhile."""

    async def start(self, port=0):
        self.listener = socket.socket()
        self.listener.bind((self.ip, 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        self.takes, self.fillers, self.handles = asyncio.Event(), [], 0
        self.takes.set()
        self.accepting = asyncio.create_task(self.accept())
        self.beating = asyncio.create_task(self.beat())
        return self

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.takes.wait()
            try:
                one, _ = self.listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.0005)
                continue
            one.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=one, limit=4 << 20)
            loop.create_task(self.serve(reader, writer))

    def fill(self):
        """From now on the opening packets of new channels are dropped."""
        self.takes.clear()
        self.listener.listen(1)
        for _ in range(4):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex((self.ip, self.port))
            self.fillers.append(one)

    def empty(self):
        for one in self.fillers:
            one.close()
        self.listener.listen(128)
        self.takes.set()


KEEP = [("Keep-Alive", "timeout=60")]


async def work(server, head, body, reader, writer):
    if head.get("X-Stage") == "prefill":
        server.handles += 1
        server.world.record.add(server.name, f"reads the prompt of {head.get('X-Request-Id')}")
        await asyncio.sleep(0.02)
        writer.write(w.message("HTTP/1.1 200 OK", server.signed(head, KEEP),
                               b'{"handle":"%x","tokens":1,"version":1}' % (server.handles + 4096)))
        return True
    server.ran(head, body)
    await asyncio.sleep(0.02)
    if not server.stage:
        writer.write(w.message("HTTP/1.1 200 OK", server.signed(head, KEEP), b"booked"))
        return True
    lines = "".join(f"{name}: {value}\r\n" for name, value in server.signed(
        head, KEEP + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
    writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
    for number in range(1, 4):
        event = f"id: {number}\ndata: {head.get('X-Request-Id')}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.02)
    writer.write(b"0\r\n\r\n")
    return True


def stream(identity, prefix, tokens, deadline_ms=4000):
    return w.message("POST /match/a HTTP/1.1",
                     [("Host", "desk.example"), ("X-Request-Id", identity), ("X-Model", "m"),
                      ("X-Token-Count", f"{tokens},10"), ("X-Prefix-Hash", prefix),
                      ("X-Deadline-Ms", str(deadline_ms))], b"{}")


def booking(identity):
    return w.message("POST /desk/confirm HTTP/1.1",
                     [("Host", "desk.example"), ("X-Request-Id", identity),
                      ("X-Deadline-Ms", "4000")], b"{}")


def first_choice(part, names):
    """The engine that the instance asks first for prompts with that shared part."""
    mask = (1 << 64) - 1

    def mix(value):
        value = (value ^ (value >> 33)) * 0xff51afd7ed558ccd & mask
        value = (value ^ (value >> 33)) * 0xc4ceb9fe1a85ec53 & mask
        return value ^ (value >> 33)

    def fnv(text):
        value = 14695981039346656037
        for letter in text.encode():
            value = (value ^ letter) * 1099511628211 & mask
        return value

    return max(names, key=lambda name: mix(fnv(name) ^ mix(part)))


class Client:
    def __init__(self, world, entry):
        self.world, self.entry = world, entry

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.entry.ip, self.entry.front)

    def send(self, identity, text):
        self.identity = identity
        self.writer.write(text)
        self.world.record.add("client", f"sent {identity} to {self.entry.name}")

    async def answer(self):
        """The answer's status, whose it is, and its signature."""
        try:
            head = await asyncio.wait_for(w.read_head(self.reader), 6)
            body = b"" if head is None else await asyncio.wait_for(
                w.read_body(self.reader, head), 6)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
            head, body = None, repr(failure).encode()
        status = head.line.split(" ")[1] if head else "none"
        signature = head.get("X-Response-Signature") if head else ""
        self.world.record.add("client", f"{self.identity}: {status}, signature "
                                        f"{signature or 'none'}, {body[:60]!r}")
        self.status, self.signature, self.body = status, signature, body
        self.writer.close()
        return status


async def ask(world, entry, identity, text):
    one = Client(world, entry)
    await one.connect()
    one.send(identity, text)
    await one.answer()
    return one


async def case(world):
    routes = [{"name": "r-match", "host": "desk.example", "path-prefix": "/match/",
               "kind": "streaming", "timeout-ms": 5000, "target-latency-ms": 500, "priority": 2,
               "service": "llm", "max-attempts": 1, "sticky": True, "gap-aim-ms": 200},
              {"name": "r-confirm", "host": "desk.example", "path-prefix": "/desk/",
               "kind": "unsafe", "timeout-ms": 4000, "target-latency-ms": 300, "priority": 2,
               "service": "desk", "max-attempts": 1}]
    await world.config(routes, [
        {"name": "llm", "slots": 64, "max-conns": 370, "health-path": "/healthz",
         "engine": {"slots": 64, "kv-tokens": 483452, "kv-bytes": 163840, "handle-s": 5.0,
                    "switch-s": 3.0}},
        {"name": "desk", "slots": 6, "max-conns": 110, "health-path": "/healthz"}])
    for number, stage in enumerate(("prefill", "prefill", "decode", "decode")):
        world.servers.append(await QueueServer(world, f"i-l{number}", "llm", work, stage=stage,
                                               slots=64).start())
    for number in range(3):
        world.servers.append(await QueueServer(world, f"i-d{number}", "desk", work,
                                               slots=6).start())
    cut = await world.entry("front-1")
    for number in range(2, INSTANCES + 1):
        await world.entry(f"front-{number}")
    await world.all_ready()
    # The instances' share of repeats grows with their age.
    await asyncio.sleep(14)
    # The other instances get open channels to all servers.
    for entry in world.entries[1:]:
        warm = f"w-{entry.name}"
        calls = [ask(world, entry, f"{warm}-{number}",
                     booking(f"{warm}-{number}") if number % 2 else
                     stream(f"{warm}-{number}", f"{number + 1:x}:300,{number + 100:x}:100", 400))
                 for number in range(24)]
        await asyncio.gather(*calls)
    await asyncio.sleep(4)
    start = time.monotonic()
    at = lambda seconds: asyncio.sleep(max(0, start + seconds - time.monotonic()))
    if w.TROUBLE:
        world.record.add("case", "front-1 has no way to open a channel to a server from now on")
        for one in world.servers:
            one.fill()
    readers = [one.name for one in world.servers if one.stage == "prefill"]
    short, long = [part for part in range(1000, 1100)
                   if first_choice(part, readers) == readers[0]][:2]
    # Its channel fails first, 0.3 s before the others: the instance is not yet in doubt of more
    # than one server.
    first = Client(world, cut)
    await first.connect()
    first.send("z", stream("z", f"{short:x}:300,1:100", 400))
    clients = [Client(world, cut) for _ in range(WAITING + 4)]
    for one in clients:
        await one.connect()
    await at(0.34)
    for number, one in enumerate(clients[:WAITING]):
        prefix = f"{long:x}:90000,{number + 16:x}:100"
        one.send(f"p-{number}", stream(f"p-{number}", prefix, 90100, 1100))
    for number, one in enumerate(clients[WAITING:]):
        one.send(f"b-{number}", booking(f"b-{number}"))
    # All channels that are being opened reach their time limit in the freeze.
    if FREEZE:
        await at(0.70)
        cut.signal(signal.SIGSTOP)
        await at(0.78)
        cut.signal(signal.SIGCONT)
    answers = [asyncio.create_task(one.answer()) for one in [first, *clients]]
    await at(CUT_S)
    for one in world.servers:
        one.empty()
    await asyncio.gather(*answers)
    await asyncio.sleep(2)
    wrong = 0
    ran = [identity for one in world.servers for identity, *_ in one.runs]
    for one in [first, *clients]:
        if one.status in ("503", "429") and one.identity in ran:
            wrong += 1
            world.record.add("case", f"REFUSED: {one.identity} was answered {one.status} and ran")
        if one.status == "200" and one.signature != "s." + one.identity:
            wrong += 1
            world.record.add("case", f"MIXED: {one.identity} got the answer {one.signature}")
    for entry in world.entries:
        if entry.process.poll() is not None:
            wrong += 1
            world.record.add("case", f"{entry.name} ended by itself: {entry.process.poll()}")
    return wrong > 0


w.run(case, Path(__file__).parent)
