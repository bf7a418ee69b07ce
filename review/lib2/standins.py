"""Stand-ins for the cases 6 to 10: backends, list service, counter, clients and the platform.

They follow the users' page real/PROTOCOL.md. Everything listens on 127.0.0.1, on free ports.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The file record.txt: one line for everything that was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


def free_ports(count, kind=socket.SOCK_STREAM):
    """Different free ports, below those that the system gives to outgoing connections, so that they stay free."""
    ports = []
    for port in random.sample(range(12000, 30000), 2000):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError("no free ports")


def free_port(kind=socket.SOCK_STREAM):
    return free_ports(1, kind)[0]


def bulk(*words):
    """A command: an array of bulk strings."""
    parts = [word if isinstance(word, bytes) else str(word).encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def call(verb, customer, request, operation, plan, wait_ms, units=1, spread=1, first=0, body=None):
    """A client's request in the form of the protocol page."""
    arguments = f"c={operation},t={plan},d={wait_ms},units={units},spread={spread},first={first}"
    words = [verb, f"{customer:016x}", f"{request:016x}", arguments]
    return bulk(*words) if body is None else bulk(*words, body)


async def read_command(reader):
    """Reads one command; returns its words, or None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_answer(reader):
    """Reads one answer: ('value', bytes), ('busy', text), ('error', text), ('pong', text), or None at the end."""
    try:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return None
        text = line[:-2]
        if text.startswith(b"$"):
            length = int(text[1:])
            if length < 0:
                return ("error", "null")
            return ("value", (await reader.readexactly(length + 2))[:-2])
        if text.startswith(b"*"):
            return await read_answer(reader)
        if text.startswith(b"-BUSY"):
            return ("busy", text.decode())
        if text.startswith(b"-"):
            return ("error", text.decode())
        return ("pong", text.decode())
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Backend:
    """A backend. `handle(backend, words, connection)` is a coroutine that returns the bytes of the answer, or None."""

    def __init__(self, name, record, handle=None, zone="z", group=0):
        self.name, self.record, self.zone, self.group = name, record, zone, group
        self.handle = handle or Backend.serve
        self.status, self.since_ms = "SERVING", 0
        self.server, self.port = None, None
        self.ran = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, words, connection):
        return value(b"value for " + words[2])

    async def connection(self, reader, writer):
        connection = Connection(reader, writer)
        try:
            while True:
                words = await read_command(reader)
                if words is None:
                    break
                if words[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                if words[0] in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                    continue
                if words[0] not in (b"CALL.GET", b"CALL.POST"):
                    writer.write(b"-ERR\r\n")
                    continue
                self.ran.append(words[2])
                self.record("run", self.name, words[0].decode(), words[1].decode(), words[2].decode(),
                            words[3].decode()[:80])
                answer = await self.handle(self, words, connection)
                if answer is not None:
                    writer.write(answer)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def entry(self):
        return {"name": self.name, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "type": "m",
                "group": self.group, "status": self.status, "weight": 1.0, "since_ms": self.since_ms}


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    def reset(self):
        """Closes with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.writer.transport.abort()


def value(content):
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(content), content)


async def read_http(reader):
    """Reads the head (and body) of an HTTP request; returns its first line, or None at the end."""
    first, length = await reader.readline(), 0
    if not first:
        return None
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b""):
            break
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    await reader.readexactly(length)
    return first.decode()


def http(status, body=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


class Discovery:
    """The list service: complete lists and watches."""

    def __init__(self, backends):
        self.backends, self.index = backends, 1
        self.changed, self.changes = asyncio.Event(), []

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self, *backends):
        """Tells changes of these backends."""
        self.index += 1
        self.changes += [(self.index, backend.entry()) for backend in backends]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def list(self, since=None):
        entries = [backend.entry() for backend in self.backends if backend.status != "DELETED"]
        since = since if since else None  # version 0 was never told: the whole list
        if since is not None:
            entries = [entry for index, entry in self.changes if index > since]
        return {"index": self.index, "snapshot": since is None, "endpoints": entries}

    async def connection(self, reader, writer):
        try:
            while True:
                line = await read_http(reader)
                if line is None:
                    break
                path = line.split()[1]
                since = None
                if "since=" in path:
                    since = int(path.split("since=")[1].split("&")[0])
                    wait = int(path.split("timeout_ms=")[1].split("&")[0]) / 1e3
                    if since >= self.index:
                        try:
                            await asyncio.wait_for(self.changed.wait(), wait)
                        except asyncio.TimeoutError:
                            pass
                writer.write(http(200, json.dumps(self.list(since)).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Counter:
    """The shared counter: totals by name, exact, at once."""

    def __init__(self):
        self.totals = {}

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def connection(self, reader, writer):
        try:
            while True:
                line = await read_http(reader)
                if line is None:
                    break
                path, query = line.split()[1].split("?")
                numbers = dict(pair.split("=") for pair in query.split("&"))
                now, name = time.monotonic(), path.split("/")[2]
                total, until = self.totals.get(name, (0.0, 0.0))
                if now >= until:
                    total, until = 0.0, now + min(float(numbers["expire_ms"]), 60000.0) / 1e3
                total += float(numbers["by"])
                self.totals[name] = (total, until)
                writer.write(http(200, repr(round(total, 6)).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def operation(name, aim_ms, give_up_ms, idempotency, group="all", window_ms=0, gain=1.0):
    return {"name": name, "aim_us": aim_ms * 1000, "give_up_us": give_up_ms * 1000, "group": group,
            "idempotency": idempotency, "window_us": window_ms * 1000, "gain": gain}


def plan(name, rate, burst, parallel=0):
    return {"name": name, "per_second": rate, "depth": burst, "parallel": parallel, "ceiling_rate": 0,
            "ceiling_slack": 0, "hard_burst": 0}


def settings(operations, plans, **changes):
    """Settings like those of zobrazovani-ostrava, with one front door."""
    told = {
        "balancers": 1, "slot_no": 0, "discovery": "pushed", "zones": ["z"],
        "caps": {"cancel": True, "conn_idle_us": 30000000, "dial_timeout_us": 250000, "max_attempts": 5,
                 "max_retry_after_us": 500000, "peers": True, "retry_after": True, "second_copies": True,
                 "streams_per_conn": 100},
        "classes": operations,
        "extra": {"counter": True, "counter_timeout_us": 80000, "peer_intake": 100, "max_units": 8},
        "rules": {"cold_from": 0.15, "warm_after_us": 17000000},
        "tariffs": plans,
    }
    told.update(changes)
    return told


class Processes:
    """The processes that a case starts, in a temporary folder; `end` ends them all."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="quillramp-case-")
        self.started = []

    def start(self, command, name, environment=None, **options):
        """Starts a command from the root of the repository, in the way that the platform does."""
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = {**os.environ, "TMPDIR": self.folder, **(environment or {})}
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log, **options)
        self.started.append(process)
        return process

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), "rb") as log:
            return log.read().decode(errors="replace")

    def end(self):
        for process in self.started:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.started:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_command():
    """The command of the deploy file that starts a front door."""
    with open(os.path.join(ROOT, "deploy/balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


class FrontDoor:
    """One front door, started by the command of the deploy file."""

    def __init__(self, processes, told, discovery, counter, name="n0", memory_mb=192, sockets=1024, operator=None,
                 known=None):
        self.processes, self.name, self.operator = processes, name, operator
        self.port, self.mgmt, self.peer = free_ports(2) + [free_port(socket.SOCK_DGRAM)]
        known = known or {"index": 0, "snapshot": True, "endpoints": []}
        self.configuration = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery}",
            "counter": f"127.0.0.1:{counter}", "mgmt": f"127.0.0.1:{self.mgmt}",
            "peer_listen": f"127.0.0.1:{self.peer}", "peers": [f"127.0.0.1:{self.peer}"],
            "peers_all": f"127.0.0.1:{self.peer}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "known": known, "settings": told}
        self.path = os.path.join(processes.folder, name + ".json")
        self.write()

    def write(self):
        with open(self.path + ".new", "w") as file:
            json.dump(self.configuration, file)
        os.rename(self.path + ".new", self.path)

    def start(self):
        environment = {"EDGE_CONFIG": self.path, "EDGE_NAME": self.name}
        if self.operator:
            environment["EDGE_OPERATOR"] = self.operator
        self.process = self.processes.start(run_command(), self.name, environment)
        self.pid = self.process.pid

    async def ready(self, limit=30.0):
        """Waits until the front door answers PING with +PONG."""
        end = time.monotonic() + limit
        while time.monotonic() < end and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(bulk("PING"))
                answer = await asyncio.wait_for(read_answer(reader), 1)
                writer.close()
                if answer == ("pong", "+PONG"):
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def resident_mb(self):
        """Resident memory in MiB; 0 once the process has ended."""
        try:
            with open(f"/proc/{self.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def get(self, path):
        return await self.manage("GET", path)

    async def post(self, path):
        return await self.manage("POST", path)

    async def manage(self, method, path):
        """A management call; returns the status and the body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), body


def main(folder, case, limit=110.0):
    """Runs `case(record, processes)`, which returns HELD, BROKEN or NOT_RUN; ends all processes."""
    record, processes = Record(folder), Processes()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the processes are ended then too
    record("TROUBLE", int(TROUBLE))

    async def limited():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: record("stand-in:", context["message"]))
        return await asyncio.wait_for(case(record, processes), limit)

    try:
        code = asyncio.run(limited())
    except BaseException as error:  # a case that could not run is reported as such
        import traceback
        record.say("the case could not run:", repr(error))
        record(traceback.format_exc())
        code = NOT_RUN
    finally:
        processes.end()
    record.say({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)  # connections of the stand-ins need no orderly end
