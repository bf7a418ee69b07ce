"""Contracts that change in service: an invocation that was taken under the old ones ends the process."""
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

CLIENTS = 4
# Work of a booking, in seconds: ten times the usual, with and without the changes. Its client waits for 3 s.
BOOKING_WORK = 1.5
GRACE = 0.5 + 0.05
NORTH, SOUTH = 0xa1, 0xb2


def contracts(*teams):
    text = '[broker]\ncapacity = 200.0\nstrangers = "refuse"\n'
    for team, customer in teams:
        text += f'[[contract]]\nteam = "{team}"\ncustomers = ["{customer:016x}"]\nrate = 50.0\nburst = 50.0\n'
    return text


FILES = [
    ("contracts of the teams north and south", contracts(("north", NORTH), ("south", SOUTH))),
    ("no contracts: the section is left out", '[log]\nform = "plain"\n'),
    ("the contract of the team north alone", contracts(("north", NORTH))),
]


def case(record, trouble):
    begun = set()

    def answer(request):
        begun.add(request.id)
        time.sleep(BOOKING_WORK)
        # The estimate was 2 units; the true units come with the answer (extra.cost_after).
        return s.value_reply(b"answer to " + request.id.encode(), usage=b"cost=3")

    backends = [s.Backend(f"s-{i}", record, answer) for i in range(4)]
    endpoints = [backend.endpoint() for backend in backends]
    told = s.settings([s.LOOK_UP, s.BOOKING], extra={"cost_after": True})
    folder = s.tempfile.TemporaryDirectory(prefix="quillramp-review-")
    path = os.path.join(folder.name, "operator.toml")

    def write(number):
        name, text = FILES[number]
        with open(path + ".new", "w") as file:
            file.write(text)
        os.rename(path + ".new", path)
        record("operator", f"the operator's file: {name}")

    write(0)
    gateway = s.Gateway(FOLDER, record, s.Discovery(endpoints), s.Counter(), told, endpoints, operator_file=path)
    time.sleep(1.5)  # no SIGHUP in the first second
    breaks = []

    def client(number):
        name, request_id = f"client {number}", f"{number:08x}0000000b"
        customer = (NORTH, SOUTH)[number % 2]
        stream = s.connect(gateway.listen)
        stream.sendall(s.command("rezervace", request_id, 3000, body=b"a booking", customer=customer, units=2))
        sent = time.monotonic()
        record(name, f"sends {request_id} rezervace d=3000 for customer {customer:x}")
        try:
            reply = s.read_answer(stream.makefile("rb"))
        except OSError as error:
            reply = None
            record(name, f"the connection breaks: {error}")
        waited = time.monotonic() - sent
        record(name, f"after {waited:.3f} s: {reply!r}")
        if reply is None and request_id not in begun:
            # It may not have been read when the connection ended; its client would send it once more: no break.
            record(name, f"{request_id} reached no backend: not counted")
        elif reply is None:
            breaks.append(f"{name}: {request_id} was taken, and its connection ended after {waited:.2f} s with no answer")
        elif waited > 3.0 + GRACE:
            breaks.append(f"{name}: {request_id} was answered {waited:.2f} s after it was sent")

    try:
        threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
        if trouble:
            for number in (1, 2):
                write(number)
                gateway.signal(signal.SIGHUP)
                time.sleep(0.5)
        for thread in threads:
            thread.join(20)
        time.sleep(0.3)
        code = gateway.process.poll()
        record("platform", f"the gateway's exit code: {code}")
        if code is not None:
            breaks.append(f"the process ended by itself, with code {code}")
    finally:
        gateway.end()
        folder.cleanup()
    return breaks


sys.exit(s.main(FOLDER, case))
