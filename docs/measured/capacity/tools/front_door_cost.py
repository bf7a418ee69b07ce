"""Measures what an idle gateway instance spends on the endpoint list and on the operator's file, by their sizes.

One process of quillramp on loopback, no traffic, a stand-in list service in this process. A point is a fresh start: the complete list
is fetched, then changes come at a steady rate, one entry each. Rows go to standard output as CSV.
"""

import argparse
import csv
import http.server
import json
import os
import pathlib
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

import processes

SETTLE_SECONDS = 1.5
START_LIMIT_SECONDS = 20.0
FIRST_INDEX = 41
CONTRACT_RATE = 6.9  # units a second: 97,000 over 14,000 tenants


class Listing:
    """The endpoint list, its version and the entries that changed with each version."""

    def __init__(self, backends):
        self.changed = threading.Condition()
        self.index = FIRST_INDEX
        self.entries = [self.entry(i) for i in range(backends)]
        self.changes = []
        self.sent_bytes = 0
        self.answers = 0

    @staticmethod
    def entry(i):
        # Values of the lengths that the protocol page shows: a name of ten characters, an address of a private network.
        return {
            "name": f"s-{(i * 2654435761) % (1 << 32):08x}", "address": f"10.{i // 62500}.{i // 250 % 250}.{i % 250 + 1}:6379",
            "zone": "abcd"[i % 4], "type": "m2", "group": i % 8, "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }

    def change(self, i):
        """One entry gets another weight: a change without an effect on connections."""
        with self.changed:
            self.index += 1
            entry = self.entries[i % len(self.entries)]
            entry["weight"] = 1.5 - entry["weight"] + 1.0 if entry["weight"] != 1.0 else 1.5
            self.changes.append((self.index, i % len(self.entries)))
            self.changed.notify_all()

    def answer(self, query):
        """The body for a call: the complete list, or what is newer than `since`."""
        since = int(query.get("since", [0])[0])
        with self.changed:
            if since < FIRST_INDEX:
                return json.dumps({"index": self.index, "snapshot": True, "endpoints": self.entries}, separators=(",", ":"))
            self.changed.wait_for(lambda: self.index > since, int(query["timeout_ms"][0]) / 1e3)
            changed = sorted({i for index, i in self.changes[-1000:] if index > since})
            entries = [self.entries[i] for i in changed]
            return json.dumps({"index": self.index, "snapshot": False, "endpoints": entries}, separators=(",", ":"))


def handler(listing):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = -1

        def do_GET(self):
            query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
            body = listing.answer(query).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            try:
                self.wfile.write(head + body)
                self.wfile.flush()
            except OSError:
                return
            listing.sent_bytes += len(head) + len(body)
            listing.answers += 1

        def log_message(self, *_):
            pass

    return Handler


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True


def configuration(example, folder, port, discovery, counter, peers):
    """The project's example configuration, with `peers` instances in the fleet and the other services at these ports."""
    settings = json.loads(pathlib.Path(example).read_text())
    settings.update({"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}", "counter": f"127.0.0.1:{counter}"})
    for key in ("mgmt", "peer_listen", "peers", "peers_all"):
        settings.pop(key, None)
    settings["settings"]["balancers"] = peers
    settings["settings"]["zones"] = list("abcd")
    file = pathlib.Path(folder) / "configuration.json"
    file.write_text(json.dumps(settings))
    return file


def operator_file(folder, routes, contracts):
    """An operator's file with so many routes and contracts, each for one customer; none covers another."""
    lines = ['[[class]]', 'name = "one try"', 'attempts = 1', '']
    for i in range(routes):
        lines += ["[[route]]", 'operations = ["look"]', f'customers = ["{(1 << 31) + i:016x}"]', 'class = "one try"', ""]
    if contracts:
        lines += ["[broker]", f"capacity = {CONTRACT_RATE * contracts + 1.0}", 'strangers = "pass"', ""]
    for i in range(contracts):
        customer = f'customers = ["{(1 << 31) + i:016x}"]'
        lines += ["[[contract]]", f'team = "t{i:05}"', f"rate = {CONTRACT_RATE}", customer, ""]
    file = pathlib.Path(folder) / "operator.toml"
    file.write_text("\n".join(lines))
    return file


def wait_until_ready(port, process):
    """Seconds until PING is answered by +PONG."""
    began = time.monotonic()
    while time.monotonic() < began + START_LIMIT_SECONDS:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1.0) as s:
                s.settimeout(1.0)
                s.sendall(b"*1\r\n$4\r\nPING\r\n")
                if s.recv(64).startswith(b"+PONG"):
                    return time.monotonic() - began
        except OSError:
            pass
        if process.poll() is not None:
            raise SystemExit(f"the front door ended with {process.returncode}")
        time.sleep(0.005)
    raise SystemExit("the front door was not ready in time")


def point(arguments, backends, changes, routes, contracts, writer):
    """Starts one gateway instance at these sizes and writes a row."""
    with tempfile.TemporaryDirectory() as folder:
        port, counter = processes.free_ports(2)
        listing = Listing(backends)
        server = Server(("127.0.0.1", 0), handler(listing))
        threading.Thread(target=server.serve_forever, daemon=True).start()
        environment = dict(os.environ, TMPDIR=folder)
        environment["EDGE_CONFIG"] = str(configuration(arguments.example, folder, port, server.server_address[1], counter, arguments.doors))
        file = operator_file(folder, routes, contracts)
        if routes or contracts:
            environment["EDGE_OPERATOR"] = str(file)
        with open(pathlib.Path(folder) / "log", "w") as log:
            process = subprocess.Popen([arguments.program], env=environment, stdout=log, stderr=log)
            try:
                ready = wait_until_ready(port, process)
                time.sleep(SETTLE_SECONDS)
                start_cores = processes.processor_seconds_of_threads(process.pid)
                start_bytes = listing.sent_bytes
                memory, peak = processes.status(process.pid, "VmRSS"), processes.status(process.pid, "VmHWM")
                before, answers, began = start_cores, listing.answers, time.monotonic()
                made = 0
                while time.monotonic() < began + arguments.seconds:
                    if changes and made < (time.monotonic() - began) * changes:
                        listing.change(made * 37)
                        made += 1
                    else:
                        time.sleep(0.002)
                span = time.monotonic() - began
                spent = processes.processor_seconds_of_threads(process.pid) - before
                list_bytes = listing.sent_bytes - start_bytes
                answers = listing.answers - answers
                before = processes.processor_seconds_of_threads(process.pid)
                process.send_signal(signal.SIGHUP)
                time.sleep(SETTLE_SECONDS)
                reload = processes.processor_seconds_of_threads(process.pid) - before
            finally:
                process.terminate()
                process.wait()
                server.shutdown()
        writer.writerow([
            backends, changes, routes, contracts, file.stat().st_size if routes or contracts else 0, round(ready, 3), start_bytes, round(start_cores, 4), memory, peak,
            round(span, 2), made, answers, round(list_bytes / span, 1), round(spent / span, 6), round(reload, 4),
        ])
        sys.stdout.flush()


HEAD = [
    "backends", "changes_s", "routes", "contracts", "operator_file_bytes", "ready_s", "start_list_bytes", "start_processor_s", "rss_kb", "peak_rss_kb",
    "span_s", "changes", "list_answers", "list_bytes_s", "cores", "reload_processor_s",
]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="target/release/quillramp")
    parser.add_argument("--example", default="examples/configuration.json")
    parser.add_argument("--doors", type=int, default=420)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--points", default="240:0:0", help="BACKENDS:CHANGES_A_SECOND:ROUTES[:CONTRACTS], separated by commas")
    arguments = parser.parse_args()
    print("# front_door_cost.py", " ".join(sys.argv[1:]))
    writer = csv.writer(sys.stdout)
    writer.writerow(HEAD)
    for text in arguments.points.split(","):
        backends, changes, routes, contracts = (text.split(":") + ["0"])[:4]
        point(arguments, int(backends), float(changes), int(routes), int(contracts), writer)


if __name__ == "__main__":
    main()
