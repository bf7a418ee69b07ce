"""A planned restart: requests that clients send on connections that stay open after SIGTERM get no answer."""
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

CONNECTIONS = 8
# Seconds after SIGTERM at which each connection sends its second request; the kill comes 3.7 s after SIGTERM.
SENDS_AT = 1.8
# The client's time for the second request, in seconds. An answer may come half a second later.
LOOK_UP_TIME = 1.0
GRACE = 0.5 + 0.05
# A close so soon after the second request was sent may cross it: that is no break.
CROSSING = 0.2
# Work of a booking and of a look-up, in seconds.
WORK = {"rezervace": 0.12, "volne-terminy": 0.05}


def case(record, trouble):
    def answer(request):
        time.sleep(WORK[request.operation])
        return s.value_reply(b"answer to " + request.id.encode())

    def hang(request):
        return None

    # Half of the backends hang, with and without the restart.
    backends = [s.Backend(f"s-{i}", record, hang if i % 2 else answer) for i in range(4)]
    endpoints = [backend.endpoint() for backend in backends]
    told = s.settings([s.LOOK_UP, s.BOOKING])
    gateway = s.Gateway(FOLDER, record, s.Discovery(endpoints), s.Counter(), told, endpoints)
    breaks = []
    start = {}
    ready = threading.Barrier(CONNECTIONS + 1)

    def client(number):
        name = f"client {number}"
        stream = s.connect(gateway.listen)
        answers, ended = [], []  # times of the answers; time and kind of the connection's end

        def read():
            reader = stream.makefile("rb")
            kind = "an orderly end, so that all that was sent had been read"
            try:
                while (reply := s.read_answer(reader)) is not None:
                    answers.append(time.monotonic())
                    record(name, f"gets answer {len(answers)}: {reply[:40]!r}")
            except OSError as error:
                kind = f"a reset: {error}"
            ended.append((time.monotonic(), kind))
            record(name, f"its connection ends: {kind}")

        booking, look_up = f"{number:08x}0000000b", f"{number:08x}0000000a"
        ready.wait()
        stream.sendall(s.command("rezervace", booking, 3000, body=b"a booking"))
        record(name, f"sends {booking} rezervace d=3000")
        reading = threading.Thread(target=read, daemon=True)
        reading.start()
        ready.wait()  # SIGTERM follows
        time.sleep(max(0.0, start["at"] + SENDS_AT - time.monotonic()))
        if answers or ended:
            return record(name, "has its answer: nothing is sent behind it")
        stream.sendall(s.command("volne-terminy", look_up, int(LOOK_UP_TIME * 1000)))
        sent = time.monotonic()
        record(name, f"sends {look_up} volne-terminy d={int(LOOK_UP_TIME * 1000)} behind it, on the same connection")
        # The time that the answer before it took does not count.
        while not ended and len(answers) < 2:
            due = max(sent + LOOK_UP_TIME, answers[0] if answers else start["at"] + 4.0) + GRACE
            if time.monotonic() > due:
                return breaks.append(f"{name}: {look_up} had no answer in time")
            time.sleep(0.01)
        if len(answers) == 2:
            return None
        at, kind = ended[0]
        # If the instance had not read the request when it closed, the client would send it once more: that is no break.
        if "orderly" in kind and at - sent > CROSSING:
            breaks.append(f"{name}: {look_up} was read, and its connection ended {at - sent:.2f} s later with no answer to it")
        return None

    try:
        threads = [threading.Thread(target=client, args=(number,)) for number in range(CONNECTIONS)]
        for thread in threads:
            thread.start()
        ready.wait()
        time.sleep(0.3)
        start["at"] = time.monotonic()
        if trouble:
            gateway.signal(signal.SIGTERM)
        ready.wait()
        killed = False
        while any(thread.is_alive() for thread in threads):
            # SIGKILL no sooner than the longest deadline (3 s) and 0.7 s.
            if trouble and not killed and time.monotonic() > start["at"] + 3.7 and gateway.process.poll() is None:
                gateway.signal(signal.SIGKILL)
                killed = True
            if time.monotonic() > start["at"] + 20:
                raise s.CannotRun("a client did not end")
            time.sleep(0.01)
        record("platform", f"exit code of the gateway: {gateway.process.poll()}")
    finally:
        gateway.end()
    return breaks


sys.exit(s.main(FOLDER, case))
