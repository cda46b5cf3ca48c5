"""Stand-ins for the review's cases: the platform, the event bus, cache nodes and clients.

They follow the pages PROTOCOL and DEPLOY, use loopback addresses only, and need nothing but Python's
standard library.
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def free_port():
    """A port that nobody listens on, below the range from which the system takes ports for connections."""
    for _ in range(200):
        port = random.randrange(18000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


def listening():
    """A socket that listens on a free port."""
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    s.listen(1024)
    s.setblocking(False)
    return s


def unix_ms():
    return time.time() * 1000.0


def hex_id():
    return "%016x" % random.getrandbits(64)


def body_of(item, chunk, version, length):
    """The bytes of a part of an object in this version."""
    head = f"{item}/{chunk}/v{version}:".encode()
    block = hashlib.sha256(head).digest()
    return (head + block * (length // 32 + 1))[:length]


# ---------------------------------------------------------------- records

class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.time()

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (time.time() - self.start, text))
        self.file.flush()


# ---------------------------------------------------------------- MessagePack

def pack(value):
    if value is None:
        return b"\xc0"
    if value is True:
        return b"\xc3"
    if value is False:
        return b"\xc2"
    if isinstance(value, int):
        if 0 <= value < 128:
            return bytes([value])
        if value < 65536:
            return b"\xcd" + struct.pack(">H", value)
        return b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        raw = value.encode()
        if len(raw) < 32:
            return bytes([0xA0 | len(raw)]) + raw
        return b"\xd9" + bytes([len(raw)]) + raw
    if isinstance(value, bytes):
        if len(value) < 256:
            return b"\xc4" + bytes([len(value)]) + value
        if len(value) < 65536:
            return b"\xc5" + struct.pack(">H", len(value)) + value
        return b"\xc6" + struct.pack(">I", len(value)) + value
    if isinstance(value, list):
        return bytes([0x90 | len(value)]) + b"".join(pack(v) for v in value)
    if isinstance(value, dict):
        return bytes([0x80 | len(value)]) + b"".join(pack(k) + pack(v) for k, v in value.items())
    raise TypeError(value)


class Incomplete(Exception):
    pass


def unpack(data, at=0):
    """Decodes one value; returns it with the position after it."""
    def need(n):
        if len(data) < at + n:
            raise Incomplete

    need(1)
    b = data[at]
    at += 1
    if b < 0x80:
        return b, at
    if b >= 0xE0:
        return b - 256, at
    if b == 0xC0:
        return None, at
    if b in (0xC2, 0xC3):
        return b == 0xC3, at
    if 0xA0 <= b < 0xC0:
        n = b & 31
        need(n)
        return data[at:at + n].decode(), at + n
    sized = {0xC4: (">B", 1), 0xC5: (">H", 2), 0xC6: (">I", 4), 0xD9: (">B", 1), 0xDA: (">H", 2), 0xDB: (">I", 4)}
    if b in sized:
        fmt, w = sized[b]
        need(w)
        n = struct.unpack_from(fmt, data, at)[0]
        at += w
        need(n)
        raw = bytes(data[at:at + n])
        return (raw if b <= 0xC6 else raw.decode()), at + n
    numbers = {0xCC: (">B", 1), 0xCD: (">H", 2), 0xCE: (">I", 4), 0xCF: (">Q", 8)}
    if b in numbers:
        fmt, w = numbers[b]
        need(w)
        return struct.unpack_from(fmt, data, at)[0], at + w
    if 0x90 <= b < 0xA0 or b in (0xDC, 0xDD):
        if b == 0xDC:
            need(2)
            n, at = struct.unpack_from(">H", data, at)[0], at + 2
        elif b == 0xDD:
            need(4)
            n, at = struct.unpack_from(">I", data, at)[0], at + 4
        else:
            n = b & 15
        out = []
        for _ in range(n):
            v, at = unpack(data, at)
            out.append(v)
        return out, at
    if 0x80 <= b < 0x90 or b == 0xDE:
        if b == 0xDE:
            need(2)
            n, at = struct.unpack_from(">H", data, at)[0], at + 2
        else:
            n = b & 15
        out = {}
        for _ in range(n):
            k, at = unpack(data, at)
            v, at = unpack(data, at)
            out[k] = v
        return out, at
    raise ValueError("byte %02x" % b)


def call(number, cls, fields, body=b""):
    return pack([0, number, cls, [fields, body]])


def fields(item, patience, chunk=0, group=0, size=40.0, trace=None, seen=None):
    f = {"trace": trace or hex_id(), "patience": str(int(patience)), "entity": item, "slice": str(chunk),
         "set": str(group), "size": "%.1f" % size}
    if seen:
        f["seen"] = seen
    return f


# ---------------------------------------------------------------- cache nodes

class Objects:
    """What the origin has: the current version of each object and when it was last purged."""

    def __init__(self, length=20000):
        self.length = length
        self.versions = {}

    def current(self, item):
        return self.versions.get(item, 1)

    def change(self, item):
        self.versions[item] = self.current(item) + 1


class Node:
    """A cache node, a parent or the origin: RESP over TCP."""

    def __init__(self, name, kind, zone, objects, nodes, record, delay_ms=5.0):
        self.name, self.kind, self.zone = name, kind, zone
        self.objects, self.nodes, self.record = objects, nodes, record
        self.delay_ms = delay_ms
        self.socket = listening()
        self.port = self.socket.getsockname()[1]
        self.copies = {}          # (item, chunk) -> (version, minted)
        self.asked = []           # (time, id, fields)
        self.hooks = {}           # "answer": async function that may replace the behaviour
        self.open = {}            # (connection, id) -> task
        self.out = {}             # id -> number of attempts that are out here
        self.connections = set()
        self.server = None
        nodes[name] = self

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=self.socket, limit=1 << 22)

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for w in list(self.connections):
            w.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        mine = {}
        try:
            while True:
                parts = await read_array(reader)
                if parts is None:
                    break
                if parts[0] == b"ASK":
                    ident = parts[1].decode()
                    given = dict(p.split("=", 1) for p in parts[2].decode().split(",") if "=" in p)
                    self.asked.append((time.time(), ident, given))
                    task = asyncio.ensure_future(self.answer(writer, ident, given, parts[3], mine))
                    mine[ident] = task
                elif parts[0] == b"QUIT":
                    task = mine.pop(parts[1].decode(), None)
                    if task:
                        task.cancel()
                    self.record(f"{self.name} QUIT {parts[1].decode()}")
                elif parts[0] == b"NOOP":
                    writer.write(array([parts[1], b"green", b"-", b""]))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in mine.values():
                task.cancel()
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, ident, given, body, mine):
        try:
            hook = self.hooks.get("answer")
            if hook:
                handled = await hook(self, writer, ident, given, body)
                if handled:
                    return
            await asyncio.sleep(self.delay_ms / 1000.0)
            word, out_fields, out_body = await self.look_up(given, body)
            self.reply(writer, ident, word, out_fields, out_body)
        except asyncio.CancelledError:
            raise
        except ConnectionError:
            pass
        finally:
            if mine.get(ident) is asyncio.current_task():
                mine.pop(ident, None)

    def reply(self, writer, ident, word, out_fields, out_body):
        writer.write(array([ident.encode(), word.encode(), out_fields.encode() or b"-", out_body]))

    def fresh_copy(self, key, limit_ms):
        copy = self.copies.get(key)
        if copy is None:
            return None
        if limit_ms and unix_ms() - copy[1] > limit_ms:
            return None
        return copy

    async def look_up(self, given, body):
        cls, item, chunk = given["cls"], given["item"], given["chunk"]
        key = (item, chunk)
        if cls == "contribution-change":
            if self.kind == "standard" and "via" not in given:
                return "not_here", "-", b""
            return "served", "tag=0,minted=%d,meter=inflight:1;x0:0.5" % unix_ms(), b"ok:" + given["item"].encode()
        limit = float(given.get("fresh", 0)) or (8000.0 if cls == "account-pages" else 0.0)
        copy = self.fresh_copy(key, limit)
        note = "warm"
        if copy is None:
            note = "fill"
            source = self.nodes.get(given.get("via", ""))
            if source is None:
                return "not_here", "-", b""
            copy = None if source.kind == "origin" else source.fresh_copy(key, limit)
            if copy is None and source.kind == "standard":
                return "not_here", "-", b""
            if copy is None:
                copy = (self.objects.current(item), int(unix_ms()))
                if source.kind == "parent":
                    source.copies[key] = copy
            if int(given.get("tier", 0)) > 0:
                self.copies[key] = copy
        version, minted = copy
        bytes_ = body_of(item, chunk, version, self.objects.length)
        tag = "v%d" % version
        if given.get("known") == tag:
            return "still_good", f"tag={tag},minted={minted},tell={note}", b""
        return "served", f"tag={tag},minted={minted},tell={note},meter=inflight:1;x0:0.5", bytes_


def array(parts):
    out = b"*%d\r\n" % len(parts)
    for p in parts:
        out += b"$%d\r\n" % len(p) + p + b"\r\n"
    return out


async def read_array(reader):
    line = await reader.readline()
    if not line:
        return None
    if line[:1] != b"*":
        raise ConnectionError("not RESP")
    parts = []
    for _ in range(int(line[1:])):
        n = int((await reader.readline())[1:])
        parts.append((await reader.readexactly(n + 2))[:-2])
    return parts


# ---------------------------------------------------------------- the event bus

class Bus:
    def __init__(self, record):
        self.socket = listening()
        self.port = self.socket.getsockname()[1]
        self.events = []
        self.writers = {}
        self.record = record
        self.server = None
        self.accepts = True

    def known(self):
        return {"offset": len(self.events), "batch": [self.with_offset(i) for i in range(len(self.events))]}

    def with_offset(self, i):
        return {"offset": i + 1, **self.events[i]}

    def add(self, event):
        self.events.append(event)
        self.record("bus event %d: %s" % (len(self.events), json.dumps(event)))
        for w in list(self.writers):
            self.push(w)

    def push(self, writer):
        while self.writers[writer] < len(self.events):
            writer.write(json.dumps(self.with_offset(self.writers[writer])).encode() + b"\n")
            self.writers[writer] += 1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=self.socket)

    async def stop(self):
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        try:
            line = await reader.readline()
            if not line.startswith(b"from "):
                return
            self.writers[writer] = int(line[5:])
            self.record("bus: a front asks from %d" % int(line[5:]))
            self.push(writer)
            while not writer.is_closing() and writer in self.writers:
                writer.write(b"%d\n" % self.writers[writer])
                await writer.drain()
                await asyncio.sleep(1.0)
        except ConnectionError:
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()


def server_entry(node, state="Ready", started_ms=0):
    return {"id": node.name, "addr": "127.0.0.1:%d" % node.port, "zone": node.zone, "kind": node.kind,
            "cell": 0, "state": state, "weight": 1, "started_ms": started_ms}


def topology(version, full, entries):
    return {"topology": {"version": version, "full": full, "servers": entries}}


# ---------------------------------------------------------------- the platform

def settings():
    """The settings of a small deployment: figures of the brief and of the wire page's example."""
    return {
        "areas": ["north", "edge-1"], "zone": "edge-1", "kinds": ["standard", "parent", "origin"],
        "slot_no": 0, "group_size": 1, "discovery": "pushed", "tick_ms": 2.0, "family": "edge",
        "weight_kind": "none", "value_by": "request", "tier": 0, "stages": ["stmt-cache"], "tenants": [],
        "report": {"fields": ["rif", "x0"], "via": "answers"},
        "classes": [
            {"name": "statement-docs", "objective_ms": 600.0, "aim_stretch": 2.0, "deadline_ms": 5000.0,
             "importance": 2.0, "late_worth": 0.15, "semantics": "idempotent", "dedup_scope": "all",
             "repeat_window_ms": 5000.0, "stream": False},
            {"name": "account-pages", "objective_ms": 400.0, "aim_stretch": 2.0, "deadline_ms": 3000.0,
             "importance": 1.0, "late_worth": 0.2, "semantics": "idempotent", "dedup_scope": "all",
             "repeat_window_ms": 5000.0, "stream": False},
            {"name": "contribution-change", "objective_ms": 600.0, "deadline_ms": 3000.0, "importance": 3.0,
             "late_worth": 0.0, "semantics": "at_most_once", "dedup_scope": "all", "repeat_window_ms": 5000.0,
             "stream": False}],
        "family_info": {
            "mid_kind": 1, "origin_kind": 2, "zone_balancers": [0, 1], "zone_hub": [0, 0],
            "link_in_kb_per_s": [0.0, 45497.0], "stream_kb_per_s": 3400.0, "collapses": True,
            "neighbours": "location", "note_level": "hit", "straight": False,
            "class_write": [False, False, True], "class_parts": [False, False, False],
            "good_for_ms": [0.0, 8000.0, 0.0], "grace_for_ms": [0.0, 20000.0, 0.0],
            "old_copy_worth": [0.7, 0.5, 0.7], "parent_starts_at": 0.065, "upper_cold_ms": 21000.0,
            "parent_breaks_at": 2.0, "purge_slack_ms": 1000.0, "purge_done_ms": 6000.0},
        "permissions": {
            "max_attempts": 6, "max_open": 20000, "parallel_tries": False, "cancelling": True, "peers": True,
            "probes": False, "retry_after": False, "max_retry_after_ms": 500.0, "streams_per_conn": 32,
            "connect_timeout_ms": 400.0, "conn_idle_ms": 15000.0, "cpu_us_per_s": 400000},
        "rules": {"answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "drain_grace_ms": 500.0,
                  "start_capacity": 0.23, "warm_up_ms": 16000.0, "tip_multiple": 2.0,
                  "overload_for_ms": 1500.0},
    }


def deploy_command(key="run"):
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
        for line in f:
            if line.startswith(key + " ="):
                return json.loads(line.split("=", 1)[1].strip())
    raise SystemExit(2)


class Front:
    """One real front, started with the command of the deploy file."""

    def __init__(self, folder, bus_port, known, name="n0", listen=None, change=None, limits=None, ops=None):
        self.folder, self.name = folder, name
        self.port = listen or free_port()
        self.ops = ops or free_port()
        peer = free_port()
        self.config = {
            "name": name, "listen": "127.0.0.1:%d" % self.port, "seed": "%016x" % random.getrandbits(64),
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": "127.0.0.1:%d" % peer, "peers": ["127.0.0.1:%d" % peer],
            "peers_all": "127.0.0.1:%d" % free_port(), "bus": "127.0.0.1:%d" % bus_port,
            "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": known, "settings": settings()}
        if change:
            change(self.config)
        self.config_file = os.path.join(folder, f"{name}.json")
        self.tmp = os.path.join(folder, f"tmp-{name}")
        os.makedirs(self.tmp, exist_ok=True)
        self.process = None

    def write_config(self):
        part = self.config_file + ".part"
        with open(part, "w") as f:
            json.dump(self.config, f)
        os.replace(part, self.config_file)

    def start(self, log="log", ops=None, pass_socket=None):
        self.write_config()
        env = dict(os.environ, RELAY_NAME=self.name, RELAY_LISTEN="127.0.0.1:%d" % self.port,
                   RELAY_CONFIG=self.config_file, RELAY_OPS="127.0.0.1:%d" % (ops or self.ops), TMPDIR=self.tmp)
        out = open(os.path.join(self.folder, f"{self.name}.{log}"), "ab")
        self.log_file = out.name
        kept = {}
        if pass_socket is not None:
            env["RELAY_PASSED_SOCKET"] = "3"
            number = pass_socket.fileno()

            def prepare():
                os.dup2(number, 3)
                os.set_inheritable(3, True)
            kept = {"preexec_fn": prepare, "close_fds": False}
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command()], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=out, stderr=out, **kept)
        return self.process

    def rss_kb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


async def ready(port, within=10.0):
    """Waits until the front answers isWell with true."""
    end = time.time() + within
    while time.time() < end:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(pack([0, 1, "isWell", [{}]]))
            data = await asyncio.wait_for(reader.read(4096), 1.0)
            writer.close()
            if data and unpack(data)[0][3][0] is True:
                return True
        except (OSError, asyncio.TimeoutError, Incomplete):
            pass
        await asyncio.sleep(0.05)
    return False


class Client:
    """One connection of a client: up to 32 requests open at once."""

    def __init__(self, record=None, label="client"):
        self.record, self.label = record, label
        self.number = 0
        self.waiting = {}
        self.answers = {}         # number -> list of answers
        self.sent = {}            # number -> time
        self.ended = None         # how the connection ended

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.ensure_future(self.receive())
        return self

    async def receive(self):
        data = b""
        try:
            while True:
                got = await self.reader.read(1 << 16)
                if not got:
                    self.ended = "closed"
                    break
                data += got
                at = 0
                while at < len(data):
                    try:
                        message, after = unpack(data, at)
                    except Incomplete:
                        break
                    at = after
                    self.take(message)
                data = data[at:]
        except ConnectionError as e:
            self.ended = "reset"
        for number, future in list(self.waiting.items()):
            if not future.done():
                future.set_result(("lost", self.ended, None))

    def take(self, message):
        _, number, error, result = message
        self.answers.setdefault(number, []).append(message)
        future = self.waiting.pop(number, None)
        if future and not future.done():
            if error is None:
                future.set_result(("served", result[1], result[0]))
            elif error[0] == "Shed":
                future.set_result(("refused", error[1], None))
            else:
                future.set_result(("failed", error[1], None))

    def send(self, cls, given, body=b""):
        self.number += 1
        future = asyncio.get_event_loop().create_future()
        self.waiting[self.number] = future
        self.sent[self.number] = time.time()
        if self.ended:
            future.set_result(("lost", self.ended, None))
            return future
        self.writer.write(call(self.number, cls, given, body))
        return future

    async def ask(self, cls, given, body=b"", wait=None):
        future = self.send(cls, given, body)
        try:
            return await asyncio.wait_for(asyncio.shield(future), wait or float(given["patience"]) / 1000 + 1.0)
        except asyncio.TimeoutError:
            return ("silent", None, None)

    def close(self):
        self.writer.close()


async def admin(port, line, within=1.0):
    """One call of an operator; returns the first line of the answer, or '' if it is late."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), within)
        writer.write(line.encode() + b"\n")
        answer = await asyncio.wait_for(reader.readline(), within)
        writer.close()
        return answer.decode().strip()
    except (OSError, asyncio.TimeoutError):
        return ""


# ---------------------------------------------------------------- a run

class World:
    """A small deployment: bus, three cache nodes, a parent, the origin, and one front."""

    def __init__(self, case_folder, length=20000):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.objects = Objects(length)
        self.nodes = {}
        self.fronts = []
        self.children = []      # other processes that the case started
        self.bus = Bus(self.record)
        self.caches = [Node(f"s-{i}", "standard", "edge-1", self.objects, self.nodes, self.record) for i in range(3)]
        self.parent = Node("p-0", "parent", "north", self.objects, self.nodes, self.record)
        self.origin = Node("o-0", "origin", "north", self.objects, self.nodes, self.record)
        self.record("trouble=%d" % self.trouble)

    async def start(self):
        for node in self.nodes.values():
            await node.start()
        await self.bus.start()
        self.bus.add(topology(1, True, [server_entry(n) for n in self.nodes.values()]))

    def front(self, **options):
        front = Front(self.folder, self.bus.port, self.bus.known(), **options)
        self.fronts.append(front)
        return front

    def end(self):
        for child in self.children:
            if child.returncode is None:
                child.kill()
        for front in self.fronts:
            front.end()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case_folder, body, **options):
    """Runs a case; `body(world)` returns a list of what broke the rule."""
    if not os.path.exists(os.path.join(ROOT, "target", "release", "fernslip")):
        print("the program is not built")
        sys.exit(2)

    async def whole():
        # Tasks that are still open when a run ends are cancelled; that is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        world = World(case_folder, **options)
        try:
            await world.start()
            return await asyncio.wait_for(body(world), 110), world
        finally:
            world.end()

    try:
        broken, world = asyncio.run(whole())
    except Exception as e:  # whatever stops a case before its verdict: it could not run
        print("could not run:", repr(e))
        sys.exit(2)
    for line in broken[:20]:
        print(line)
        world.record("BROKEN " + line)
    world.record("verdict: %s" % ("broken" if broken else "held"))
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)


class CannotRun(Exception):
    pass
