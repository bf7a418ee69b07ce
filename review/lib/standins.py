"""Stand-ins for the parties around one gateway instance, from the pages PROTOCOL.md and DEPLOY.md: discovery, the
counter, backends and a client. All on loopback addresses, with free ports. Nothing here is the project's code."""
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """The file record.txt: one line for each thing that was sent, answered or run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {who}: {text}\n")


def listen(backlog=1024):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(backlog)
    return listener


def address(listener):
    return f"{HOST}:{listener.getsockname()[1]}"


def free_address():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


def serve(listener, handle):
    """Accepts connections; each is handled by a thread of its own."""

    def run(stream):
        try:
            handle(stream)
        except OSError:
            pass
        finally:
            stream.close()

    def accept():
        while True:
            try:
                stream, _ = listener.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=run, args=(stream,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def read_http_head(reader):
    line = reader.readline()
    if not line:
        return None
    while reader.readline() not in (b"\r\n", b""):
        pass
    return line.decode().split()


def http_reply(stream, body, status="200 OK"):
    stream.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)


class Discovery:
    """Answers with the whole list, and lets a watch wait: the list does not change in these cases."""

    def __init__(self, endpoints):
        self.listener = listen()
        self.address = address(self.listener)
        self.list = {"index": 1, "snapshot": True, "endpoints": endpoints}
        serve(self.listener, self.handle)

    def handle(self, stream):
        reader = stream.makefile("rb")
        while (head := read_http_head(reader)) is not None:
            wait = re.search(r"timeout_ms=(\d+)", head[1])
            if wait is None:
                http_reply(stream, json.dumps(self.list).encode())
                continue
            time.sleep(min(int(wait[1]), 60000) / 1000)
            http_reply(stream, json.dumps({"index": 1, "snapshot": False, "endpoints": []}).encode())


class Counter:
    """Adds amounts to names."""

    def __init__(self):
        self.listener = listen()
        self.address = address(self.listener)
        self.lock = threading.Lock()
        self.totals = {}
        serve(self.listener, self.handle)

    def handle(self, stream):
        reader = stream.makefile("rb")
        while (head := read_http_head(reader)) is not None:
            call = re.match(r"/counters/([^?]+)\?by=([-+.\deE]+)&expire_ms=(\d+)", head[1])
            if call is None:
                http_reply(stream, b"", "400 Bad Request")
                continue
            now = time.monotonic()
            with self.lock:
                total, ends = self.totals.get(call[1], (0.0, 0.0))
                if now >= ends:
                    total, ends = 0.0, now + min(int(call[3]), 60000) / 1000
                total += float(call[2])
                self.totals[call[1]] = (total, ends)
            http_reply(stream, f"{total:.7g}".encode())


def read_command(reader):
    """Reads an array of bulk strings; None at the end of the connection."""
    head = reader.readline()
    if not head.endswith(b"\n"):
        return None
    items = []
    for _ in range(int(head[1:])):
        length = int(reader.readline()[1:])
        items.append(reader.read(length + 2)[:length])
    return items


class Request:
    """A command as a backend gets it."""

    def __init__(self, items):
        self.id = items[2].decode()
        self.arguments = dict(pair.split("=", 1) for pair in items[3].decode().split(","))
        self.operation = self.arguments["c"]
        self.body = items[4] if len(items) > 4 else b""


def value_reply(value, usage=None):
    text = b"$-1\r\n" if usage is None else b"$%d\r\n%s\r\n" % (len(usage), usage)
    return b"*3\r\n$%d\r\n%s\r\n%s$-1\r\n" % (len(value), value, text)


class Backend:
    """A backend: `answer(request)` returns the reply as bytes after the time that the work takes, or None for silence."""

    def __init__(self, name, record, answer):
        self.name, self.record, self.answer = name, record, answer
        self.listener = listen()
        self.address = address(self.listener)
        serve(self.listener, self.handle)

    def endpoint(self, zone="sal-a", group=0):
        return {"name": self.name, "address": self.address, "zone": zone, "type": "dvoujadro-1", "group": group,
                "status": "SERVING", "weight": 1.0, "since_ms": 0}

    def handle(self, stream):
        reader = stream.makefile("rb")
        while (items := read_command(reader)) is not None:
            if items[0] == b"PING":
                stream.sendall(b"+PONG\r\n")
                continue
            request = Request(items)
            self.record(self.name, f"begins {request.id} {request.operation} d={request.arguments['d']}")
            reply = self.answer(request)
            if reply is None:
                self.record(self.name, f"leaves {request.id} unanswered")
                continue
            self.record(self.name, f"answers {request.id}: {len(reply)} bytes, {reply[:24]!r}")
            stream.sendall(reply)


def command(operation, request_id, timeout_ms, body=None, customer=0xb4d65521, plan="team", units=1):
    """A client's command; operations with a body go by CALL.POST."""
    arguments = f"c={operation},t={plan},d={timeout_ms},units={units},spread=1,first=0".encode()
    items = [b"CALL.GET" if body is None else b"CALL.POST", b"%016x" % customer, request_id.encode(), arguments]
    items += [] if body is None else [body]
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)


def connect(gateway_address, timeout=30.0):
    host, port = gateway_address.split(":")
    stream = socket.create_connection((host, int(port)), timeout)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream


def read_answer(reader):
    """Reads one answer: the first byte of its type and its text; None at the end of the connection."""
    line = reader.readline()
    if not line.endswith(b"\n"):
        return None
    if line[:1] != b"$":
        return line.strip()
    length = int(line[1:])
    value = reader.read(length + 2)
    return b"$" + value[:length] if len(value) == length + 2 else None


def settings(classes, **changes):
    """The settings of a small deployment, in the form of WIRE-quillramp.md. The plan has no quota on the rate: quotas
    play no part in these cases."""
    told = {
        "balancers": 1, "slot_no": 0, "tier": 0, "tiers": ["booking-nodes"], "zone": 0, "zones": ["sal-a"],
        "domain_type": "gate", "discovery": "pushed", "weights": "rough", "shapes": ["dvoujadro-1"], "tick_us": 2000,
        "caps": {"cancel": True, "conn_idle_us": 15000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
                 "dial_timeout_us": 250000, "max_attempts": 5, "max_retry_after_us": 500000, "open_cap": 20000,
                 "peers": False, "probing": False, "retry_after": True, "second_copies": False,
                 "streams_per_conn": 32},
        "charges": {}, "clients": {"marks_retry": False}, "feedback": {"fields": [], "source": "silent"},
        "classes": classes,
        "extra": {"call_price": 0.005, "cost_after": False, "counter": True, "counter_timeout_us": 80000, "max_units": 6,
                  "meter_period_us": 0, "peer_intake": 100.0},
        "rules": {"ask_within_us": 10000000, "cold_from": 0.2, "fall_us": 3000000, "grace_to_answer_us": 8000,
                  "overload_factor": 4.0, "stop_sending_within_us": 500000, "warm_after_us": 17000000},
        "tariffs": [{"ceiling_rate": 0.0, "ceiling_slack": 0.0, "depth": 0.0, "hard_burst": 0.0, "name": "team",
                     "over_worth": 0.0, "overrun_cost": 0.5, "parallel": 0, "per_second": 0.0, "price": 1.0}],
    }
    for key, value in changes.items():
        told[key] = {**told[key], **value} if isinstance(value, dict) else value
    return told


LOOK_UP = {"aim_us": 400000, "gain": 1.0, "give_up_us": 1500000, "group": "all", "idempotency": "retryable",
           "late_worth": 0.2, "name": "volne-terminy", "stream": False, "window_us": 0}
BOOKING = {"aim_us": 1000000, "gain": 5.0, "give_up_us": 3000000, "group": "all", "idempotency": "fragile",
           "late_worth": 0.2, "name": "rezervace", "stream": False, "window_us": 0}


class Gateway:
    """One instance, started by the line `run` of the deploy file."""

    def __init__(self, folder, record, discovery, counter, told, endpoints, operator_file=None, limits=None):
        self.record = record
        self.listen = free_address()
        self.directory = tempfile.TemporaryDirectory(prefix="quillramp-review-")
        limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        configuration = {
            "name": "n0", "listen": self.listen, "discovery": discovery.address, "counter": counter.address,
            "seed": "8c1f30d27a5be964", "limits": limits, "settings": told,
            "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        }
        path = os.path.join(self.directory.name, "config.json")
        with open(path, "w") as file:
            json.dump(configuration, file)
        scratch = os.path.join(self.directory.name, "tmp")
        os.mkdir(scratch)
        environment = {**os.environ, "EDGE_NAME": "n0", "EDGE_LISTEN": self.listen, "TMPDIR": scratch,
                       "EDGE_DISCOVERY": discovery.address, "EDGE_CONFIG": path}
        environment.pop("EDGE_OPERATOR", None)
        environment.pop("EDGE_MGMT", None)
        if operator_file is not None:
            environment["EDGE_OPERATOR"] = operator_file
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = re.search(r'^run = "(.*)"', file.read(), re.M)[1]
        self.log = open(os.path.join(folder, "gateway.log"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        record("platform", f"starts the gateway: {run}, process {self.process.pid}")
        self.wait_until_ready()

    def wait_until_ready(self):
        ends = time.monotonic() + 30
        while time.monotonic() < ends and self.process.poll() is None:
            try:
                with connect(self.listen, 1.0) as stream:
                    stream.sendall(b"*1\r\n$4\r\nPING\r\n")
                    if stream.recv(64) == b"+PONG\r\n":
                        self.record("platform", "the gateway answers PING")
                        return
            except OSError:
                time.sleep(0.05)
        self.end()
        raise CannotRun("the gateway did not become ready")

    def signal(self, number):
        self.record("platform", f"sends {signal.Signals(number).name} to the gateway")
        self.process.send_signal(number)

    def memory_mb(self, field="VmRSS"):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                return int(re.search(field + r":\s+(\d+)", file.read())[1]) / 1024
        except (OSError, TypeError):
            return 0.0

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.directory.cleanup()


def main(folder, case):
    """Runs a case: `case(record, trouble)` returns the breaks of the rule as texts. Returns the exit code: 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record("case", f"disruption {'on' if trouble else 'off'}")
    failures = []
    threading.excepthook = lambda failure: failures.append(f"{failure.thread.name}: {failure.exc_value!r}")
    # The case then ends its processes before this one exits.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breaks = case(record, trouble)
        if failures:
            raise CannotRun("; ".join(failures))
    except Exception as reason:
        record("case", f"could not run: {reason!r}")
        print(f"could not run: {reason!r}")
        return 2
    for text in breaks:
        record("case", f"BROKEN: {text}")
        print(f"broken: {text}")
    record("case", "rule broken" if breaks else "rule held")
    print("rule broken" if breaks else "rule held")
    return 1 if breaks else 0
