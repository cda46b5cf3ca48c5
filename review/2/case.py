"""Case 2: a front closes a connection as idle while its client is still reading the answers."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from common import *  # noqa: E402,F403

RATE = 1_000_000        # bytes a second that a slow client reads: "at most 1 MB a second"
OPEN = 32               # requests open on one connection: "up to 32"
LENGTH = 240_000        # bytes of an object: "240,000 at most"
NEXT_AT = 6.2           # when the client sends its next request on the same connection
PATIENCE = 5000         # the class's give-up time
CLIENTS = 2


class SlowClient:
    """A client that reads at RATE (or as fast as it can), and that closes a connection idle for 4 s."""

    def __init__(self, label, port, record, slow):
        self.label, self.port, self.record, self.slow = label, port, record, slow
        self.opened = 0
        self.lost, self.outcomes = [], {}

    async def connect(self):
        self.loop = asyncio.get_event_loop()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 262144)
        self.sock.setblocking(False)
        await self.loop.sock_connect(self.sock, ("127.0.0.1", self.port))
        self.number, self.open, self.data, self.total, self.begun = 0, {}, bytearray(), 0, time.time()
        self.last_use = time.time()
        self.opened += 1

    async def ask(self, count):
        out = b""
        for _ in range(count):
            self.number += 1
            given = fields(hex_id(), PATIENCE, size=800.0)
            self.open[self.number] = (given["trace"], time.time() - self.start)
            out += call(self.number, "statement-docs", given)
        await self.loop.sock_sendall(self.sock, out)
        self.record(f"{self.label}: {count} requests sent on connection {self.opened}, {len(self.open)} open")

    async def read_some(self):
        """Reads once; returns False when the connection has ended."""
        if self.slow:
            await asyncio.sleep(max(0.0, self.total / RATE - (time.time() - self.begun)))
        try:
            got = await asyncio.wait_for(self.loop.sock_recv(self.sock, 20000 if self.slow else 1 << 18), 0.1)
        except asyncio.TimeoutError:
            return True
        except ConnectionError as e:
            return self.ended(repr(e))
        if not got:
            return self.ended("closed by the front")
        self.total += len(got)
        self.last_use = time.time()
        self.data += got
        while self.data:
            try:
                (_, number, error, result), after = unpack(self.data)
            except Incomplete:
                break
            del self.data[:after]
            trace, _ = self.open.pop(number)
            word = "served" if error is None else error[0]
            if error is None and len(result[0]) != LENGTH:
                word = "wrong length"
            self.outcomes[word] = self.outcomes.get(word, 0) + 1
            self.record(f"{self.label}: {trace} {word}")
        return True

    def ended(self, how):
        self.record(f"{self.label}: connection {self.opened} {how}; {len(self.open)} requests open, "
                    f"{len(self.data)} bytes of an answer begun")
        self.lost += [(trace, sent, how) for trace, sent in self.open.values()]
        # One answer may have been begun: it has failed and is not lost, as the client can tell.
        self.excused = 1 if self.data else 0
        self.open = {}
        self.sock.close()
        self.sock = None
        return False

    async def run(self):
        self.excused = 0
        await self.connect()
        self.start = time.time()
        await self.ask(OPEN)
        asked_again = False
        end = self.start + 40
        while time.time() < end:
            if not asked_again and time.time() - self.start >= NEXT_AT:
                asked_again = True
                if self.sock is None:
                    await self.connect()
                await self.ask(1)
            if self.sock is None:
                if asked_again:
                    break
                await asyncio.sleep(0.05)
                continue
            if asked_again and not self.open:
                break
            await self.read_some()
            if self.sock is not None and not self.open and time.time() - self.last_use >= 4.0:
                self.record(f"{self.label}: closes its connection, idle for 4 s")
                self.sock.close()
                self.sock = None
        if self.sock is not None:
            self.sock.close()


async def body(world):
    front = world.front()
    front.start()
    if not await ready(front.port):
        raise CannotRun("the front is not ready")
    clients = [SlowClient(f"client-{n}", front.port, world.record, world.trouble) for n in range(CLIENTS)]
    await asyncio.gather(*(c.run() for c in clients))
    broken = []
    for c in clients:
        lost = c.lost[c.excused:]
        world.record(f"{c.label}: {c.outcomes}, lost {len(lost)}, begun and broken off {c.excused}")
        print(f"{c.label}: {c.outcomes}, lost {len(lost)}, begun and broken off {c.excused}")
        broken += [f"{c.label}: {trace}, sent at {sent:.1f} s, got no answer: {how}" for trace, sent, how in lost]
    with open(front.log_file) as log:
        for line in log:
            if "kind=client" in line:
                world.record("front's log: " + line.strip())
    return broken


run(HERE, body, length=LENGTH)
