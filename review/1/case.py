"""Case 1: one bad client that is turned away and calls again keeps the front from answering the others."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from common import *  # noqa: E402,F403

SECONDS = 14.0          # how long the usual clients call
TROUBLE_AT = 2.0        # when the bad client comes
TROUBLE_FOR = 9.0       # how long it stays
AT_ONCE = 900           # its calls at once: "hundreds of requests at once"
EXTRA_MS = 550.0        # half a second after its time, and 50 ms


async def body(world):
    record = world.record
    front = world.front()
    front.start()
    if not await ready(front.port):
        raise CannotRun("the front is not ready")
    start = time.time()
    broken, kinds, tasks, clients = [], {}, [], []

    async def one(client, cls, patience, write):
        given = fields(hex_id(), patience)
        sent = time.time()
        outcome = await client.ask(cls, given, b"body" if write else b"", wait=patience / 1000.0 + 8.0)
        took = (time.time() - sent) * 1000.0
        kinds[outcome[0]] = kinds.get(outcome[0], 0) + 1
        record(f"{client.label} {cls} {given['trace']} patience={patience} sent={sent - start:.3f} "
               f"{outcome[0]} after {took:.0f} ms")
        if outcome[0] in ("silent", "lost") or took > patience + EXTRA_MS:
            broken.append(f"{cls} {given['trace']}: sent at {sent - start:.1f} s with patience {patience} ms, "
                          f"{outcome[0]} after {took:.0f} ms")

    async def probe():
        """A new connection each second that asks for isWell."""
        while time.time() - start < SECONDS:
            asked = time.time()
            ok = await ready(front.port, 1.0)
            record(f"isWell on a new connection: {'true' if ok else 'no answer'} after {(time.time() - asked) * 1000:.0f} ms")
            await asyncio.sleep(1.0)

    for n in range(4):
        clients.append(await Client(record, f"client-{n}").open(front.port))
    tasks.append(asyncio.ensure_future(probe()))
    rude = None
    sent = 0
    while time.time() - start < SECONDS:
        if world.trouble and rude is None and time.time() - start >= TROUBLE_AT:
            rude = await asyncio.create_subprocess_exec(
                sys.executable, os.path.join(HERE, "..", "standins", "again.py"), str(front.port), str(TROUBLE_FOR),
                str(AT_ONCE), stdout=asyncio.subprocess.PIPE)
            world.children.append(rude)
            record(f"the bad client connects, {AT_ONCE} calls at once")
        cls, patience, write = [("statement-docs", 2500, False), ("account-pages", 2500, False),
                                ("account-pages", 1500, False), ("contribution-change", 2500, True)][sent % 4]
        tasks.append(asyncio.ensure_future(one(clients[sent % 4], cls, patience, write)))
        sent += 1
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    if rude:
        out, _ = await rude.communicate()
        record("the bad client: " + out.decode().strip())
        if "turned away" not in out.decode():
            raise CannotRun("the bad client did not run")
    record(f"usual requests: {sent}, ended {kinds}, late or lost {len(broken)}")
    print(f"usual requests: {sent}, ended {kinds}, late or lost {len(broken)}")
    return broken


run(HERE, body)
