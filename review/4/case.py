"""A client reuses its channel on an instance that is being stopped, shortly before it ends."""
import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))
import world as w

GRACE_S = 8
STREAM_TIMEOUT_MS = 5000
BOOKING_WORK_S = 0.45


async def book(server, head, body, reader, writer):
    server.ran(head, body)
    try:
        await asyncio.wait_for(reader.read(1), BOOKING_WORK_S)
        server.world.record.add(server.name, f"its caller is gone: {head.get('X-Request-Id')}")
        return False
    except asyncio.TimeoutError:
        pass
    writer.write(w.message("HTTP/1.1 200 OK", server.signed(head), b"booked"))
    return True


async def generate(server, head, body, reader, writer):
    """A stream of events, one each 0.15 s, for as long as the path says."""
    server.ran(head, body)
    seconds = float(head.line.split(" ")[1].rsplit("/", 1)[1])
    headers = "".join(f"{name}: {value}\r\n" for name, value in server.signed(
        head, [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
    writer.write(f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode())
    until, number = time.monotonic() + seconds, 0
    while time.monotonic() < until:
        number += 1
        event = f"id: {number}\ndata: token\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.15)
    writer.write(b"0\r\n\r\n")
    return True


class Client:
    """A client with one kept channel."""

    def __init__(self, world, entry, name):
        self.world, self.entry, self.name, self.count = world, entry, name, 0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.entry.ip, self.entry.front)

    async def ask(self, path, deadline_ms, extra=""):
        """Sends a request on the kept channel; the status and body, None if it ends before."""
        self.count += 1
        identity = f"{self.name}-{self.count}"
        self.writer.write(
            (f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {identity}\r\n{extra}"
             f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 2\r\n\r\n{{}}").encode())
        self.world.record.add(self.name, f"sent {identity} {path}")
        try:
            head = await asyncio.wait_for(w.read_head(self.reader), deadline_ms / 1000)
            body = None if head is None else await asyncio.wait_for(
                w.read_body(self.reader, head), deadline_ms / 1000)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            head = body = None
        if head is None:
            self.world.record.add(self.name, f"the channel ended without an answer to {identity}")
            return None
        self.world.record.add(
            self.name, f"got {head.line!r}, {len(body)} bytes, for {identity}; "
                       f"Connection: {head.get('Connection') or 'not given'}")
        return head.line.split(" ")[1], body


MODEL = "X-Model: m\r\nX-Token-Count: 300,30\r\nX-Prefix-Hash: 5c1e07a2:200,{:08x}:100\r\n"


async def case(world):
    await world.config(
        [{"name": "r-tag", "host": "desk.example", "path-prefix": "/tag/", "kind": "streaming",
          "timeout-ms": STREAM_TIMEOUT_MS, "target-latency-ms": 300, "priority": 0,
          "service": "llm", "max-attempts": 1, "sticky": True, "gap-aim-ms": 200},
         {"name": "r-confirm", "host": "desk.example", "path-prefix": "/desk/", "kind": "unsafe",
          "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2, "service": "desk",
          "max-attempts": 1}],
        [{"name": "llm", "slots": 64, "max-conns": 370, "health-path": "/healthz"},
         {"name": "desk", "slots": 6, "max-conns": 110, "health-path": "/healthz"}])
    await world.server("i-01", "llm", generate, slots=64)
    await world.server("i-02", "llm", generate, slots=64)
    await world.server("i-03", "desk", book, slots=6)
    entries = [await world.entry("front-1"), await world.entry("front-2")]
    await world.all_ready()
    await asyncio.sleep(4)
    clients = [Client(world, entries[0], f"client-{number}") for number in range(1, 11)]
    other = Client(world, entries[0], "client-0")
    for one in [other, *clients]:
        await one.connect()
    if await other.ask("/desk/warm", 4000) is None:
        raise w.CannotRun("not served")
    streams = [asyncio.create_task(one.ask("/tag/4.0", 5000, MODEL.format(number)))
               for number, one in enumerate(clients)]
    await asyncio.sleep(0.5)
    stopped = time.monotonic()
    at = lambda seconds: asyncio.sleep(stopped + seconds - time.monotonic())
    ended = None
    if w.TROUBLE:
        entries[0].signal(signal.SIGTERM)
        ended = asyncio.create_task(asyncio.to_thread(entries[0].process.wait, 20))
        ended.add_done_callback(lambda _: world.record.add(
            "front-1", f"ended {time.monotonic() - stopped:.1f} s after the signal; "
                       f"the grace time is {GRACE_S} s"))
    await at(2.4)
    last = asyncio.create_task(other.ask("/tag/4.9", 5000, MODEL.format(99)))
    if None in await asyncio.gather(*streams):
        raise w.CannotRun("a stream was cut")

    async def again(one, seconds):
        """The channel was kept open: the client uses it once more."""
        await at(seconds)
        return await one.ask("/desk/confirm", 4000)

    # One after the other, each channel idle for less than 4 s of the 15 s that the manifest allows.
    answers = await asyncio.gather(*[again(one, 4.6 + 0.3 * number)
                                     for number, one in enumerate(clients)])
    await last
    if ended:
        await ended
    cut = 0
    for one, answer in zip(clients, answers):
        identity = f"{one.name}-2"
        runs = sum(request == identity for request, *_ in world.servers[2].runs)
        if runs and answer is None:
            cut += 1
            world.record.add("case", f"{identity} ran and was not answered")
    return cut > 0


w.run(case, Path(__file__).parent)
