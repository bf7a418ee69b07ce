"""Clients send 300 look-ups at once, with answers of 60 kB, and read them slowly: the memory of the process against its
limit. From 'clients send many commands at once' (mass/STANDING.md) and 'Values [...] together far over the memory limit,
read and written slowly' (more/ops/DAYS.md). TROUBLE=0: the same clients read at full speed."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

CLIENTS, COMMANDS, VALUE_BYTES, LIMIT_MB = 45, 300, 60_000, 192


def case(record, trouble):
    reply = s.value_reply(b"v" * VALUE_BYTES)
    backends = [s.Backend(f"s-{i}", lambda *_: None, lambda request: reply) for i in range(8)]
    endpoints = [backend.endpoint() for backend in backends]
    look_up = {**s.LOOK_UP, "aim_us": 1500000, "give_up_us": 4000000}
    limits = {"cores": 1.0, "memory_mb": LIMIT_MB, "sockets": 1024}
    gateway = s.Gateway(FOLDER, record, s.Discovery(endpoints), s.Counter(), s.settings([look_up, s.BOOKING]), endpoints,
                        limits=limits)
    ends = time.monotonic() + 30
    peaks = []

    def client(number):
        host, port = gateway.listen.split(":")
        stream = socket.socket()
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        stream.connect((host, int(port)))
        stream.settimeout(30)
        stream.sendall(b"".join(s.command("volne-terminy", f"{number:08x}{i:08x}", 4000) for i in range(COMMANDS)))
        reader, answers = stream.makefile("rb"), 0
        try:
            while answers < COMMANDS and time.monotonic() < ends and s.read_answer(reader) is not None:
                answers += 1
                if trouble:
                    time.sleep(0.2)
        except OSError as error:
            record(f"client {number}", f"{error}")
        record(f"client {number}", f"{answers} answers read")

    try:
        threads = []
        for number in range(CLIENTS):
            threads.append(threading.Thread(target=client, args=(number,)))
            threads[-1].start()
            time.sleep(0.3)
            peaks.append(gateway.memory_mb("VmHWM"))
            record("platform", f"peak memory {peaks[-1]:.1f} MiB of {LIMIT_MB}")
            if peaks[-1] > LIMIT_MB:
                record("platform", "kills the gateway for memory")
                gateway.process.kill()
                break
        for thread in threads:
            thread.join(40)
    finally:
        gateway.end()
    print(f"peak memory {max(peaks):.1f} MiB of {LIMIT_MB}, with {len(peaks)} clients")
    return [f"{max(peaks):.1f} MiB of {LIMIT_MB}: the platform kills it"] if max(peaks) > LIMIT_MB else []


sys.exit(s.main(FOLDER, case))
