"""Issue 44, point 4: a refused call to discovery and then a watch that falls silent; how long a draining backend still gets
requests. Counted from when discovery has the change and can be reached."""
import json
import os
import re
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

# Told 6 s after discovery had the change; the grace of drain is 0.5 s; slack 0.05 s; a hold-up of the process 0.15 s.
LIMIT = 6.0 + 0.5 + 0.05 + 0.15


class Discovery:
    """Turns the first watch away with 503 and has a change from then on; leaves the second watch silent; then answers."""

    def __init__(self, record, endpoints, drained, trouble):
        self.record, self.endpoints, self.drained, self.trouble = record, endpoints, drained, trouble
        self.listener = s.listen()
        self.address = s.address(self.listener)
        self.calls = 0
        self.changed_at = None
        self.lock = threading.Lock()
        s.serve(self.listener, self.handle)

    def handle(self, stream):
        reader = stream.makefile("rb")
        while (head := s.read_http_head(reader)) is not None:
            with self.lock:
                self.calls += 1
                call = self.calls
            wait = re.search(r"timeout_ms=(\d+)", head[1])
            self.record("discovery", f"call {call}: {head[1]}")
            if call == 1:
                time.sleep(1.5)
                self.changed_at = time.monotonic()
                self.record("discovery", f"has {self.drained['name']} draining")
                if self.trouble:
                    s.http_reply(stream, b"", "503 Service Unavailable")
                    self.record("discovery", "turns call 1 away")
                    continue
            if call == 2 and self.trouble:
                self.record("discovery", "call 2 falls silent")
                time.sleep(60)
                return
            since = re.search(r"since=(\d+)", head[1])
            if since and int(since[1]) >= 2:
                time.sleep(int(wait[1]) / 1000)
                s.http_reply(stream, json.dumps({"index": 2, "snapshot": False, "endpoints": []}).encode())
                continue
            s.http_reply(stream, json.dumps({"index": 2, "snapshot": False, "endpoints": [self.drained]}).encode())
            self.record("discovery", f"tells the change in call {call}")


def case(record, trouble):
    got = []

    def backend(name):
        def answer(request):
            got.append((time.monotonic(), name, request.id))
            time.sleep(0.05)
            return s.value_reply(b"answer to " + request.id.encode())

        return s.Backend(name, record, answer)

    backends = [backend(f"s-{i}") for i in range(3)]
    endpoints = [b.endpoint() for b in backends]
    drained = {**endpoints[0], "status": "DRAINING"}
    discovery = Discovery(record, endpoints, drained, trouble)
    gateway = s.Gateway(FOLDER, record, discovery, s.Counter(), s.settings([s.LOOK_UP, s.BOOKING]), endpoints)
    try:
        ends = time.monotonic() + 12

        def client(number):
            stream = s.connect(gateway.listen)
            reader, sent = stream.makefile("rb"), 0
            while time.monotonic() < ends:
                stream.sendall(s.command("volne-terminy", f"{number:08x}{sent:08x}", 1500))
                s.read_answer(reader)
                sent += 1

        threads = [threading.Thread(target=client, args=(number,)) for number in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
    finally:
        gateway.end()
    late = [(at - discovery.changed_at, name, id) for at, name, id in got if name == "s-0"]
    late = [entry for entry in late if entry[0] > LIMIT]
    last = max((at - discovery.changed_at for at, name, _ in got if name == "s-0"), default=0.0)
    record("case", f"the last request to the draining backend came {last:.2f} s after discovery had the change")
    print(f"the last request to the draining backend came {last:.2f} s after discovery had the change")
    return [f"{len(late)} requests reached the draining backend later than {LIMIT:.2f} s"] if late else []


sys.exit(s.main(FOLDER, case))
