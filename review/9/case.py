"""Bad clients that send hundreds of commands at once push a front door over its memory limit."""
import os
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 128          # DEPLOY.md: no more than 192 MB; LATER.md: 32 to 192 MB
BAD_CLIENTS = 10
COMMANDS = 500           # LATER.md: "hundreds of commands at once"
VALUE = b"x" * 60_000    # PROTOCOL.md: a value holds 64 KiB at most
USUAL_CLIENTS = 20
SECONDS = 8.0


def bad_client(number, port, totals):
    """Sends all commands at full speed, and reads what it is sent."""
    commands = b"".join(
        call("CALL.POST", 0x10000 + number * COMMANDS + i, (number + 1) << 32 | i, "rezervace", "zakladni", 2500,
             body=VALUE)
        for i in range(COMMANDS))
    try:
        client = socket.create_connection(("127.0.0.1", port))
    except OSError:
        return

    def read():
        try:
            while data := client.recv(1 << 16):
                totals["lines read"] += data.count(b"\r\n")
        except OSError:
            pass

    threading.Thread(target=read, daemon=True).start()
    try:
        client.sendall(commands)
        totals["sent"] += COMMANDS
    except OSError:
        totals["cut off"] += 1
    time.sleep(SECONDS)
    client.close()


async def usual_client(number, port, record, counts, end):
    """A usual client: one request at a time, each under a new id."""
    request, writer = 0, None
    while time.monotonic() < end:
        request += 1
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            counts["sent"] += 1
            record("usual client", number, "sends request", request)
            writer.write(call("CALL.GET", number + 1, (1 << 60) | number << 32 | request, "volne-terminy", "rozsireny",
                              1500))
            answer = await asyncio.wait_for(read_answer(reader), 2.05)
        except (OSError, asyncio.TimeoutError):
            answer = None
        record("usual client", number, "request", request, "answer", answer and answer[0])
        if answer is None:
            record("usual client", number, "request", request, "got no answer")
            counts["unanswered"] += 1
            return
        counts[answer[0]] = counts.get(answer[0], 0) + 1
        await asyncio.sleep(0.25)


async def case(record, processes):
    async def serve(backend, words, connection):
        await asyncio.sleep(0.05)
        return value(b"value for " + words[2])

    backends = [Backend(f"s{i}", record, serve) for i in range(10)]
    for backend in backends:
        await backend.start()
    discovery, counter = Discovery(backends), Counter()
    await discovery.start()
    await counter.start()
    told = settings([operation("volne-terminy", 400, 1500, "retryable"),
                     operation("rezervace", 1000, 3000, "fragile", gain=5.0)],
                    [plan("zakladni", 2.5, 10), plan("rozsireny", 16, 40)])
    door = FrontDoor(processes, told, discovery.port, counter.port, memory_mb=MEMORY_MB)
    door.start()
    if not await door.ready():
        return NOT_RUN
    await asyncio.sleep(1)
    record.say("memory limit", MEMORY_MB, "MB; resident before:", round(door.resident_mb(), 1), "MB")
    counts = {"sent": 0, "unanswered": 0}
    end = time.monotonic() + SECONDS
    clients = [asyncio.create_task(usual_client(i, door.port, record, counts, end)) for i in range(USUAL_CLIENTS)]
    await asyncio.sleep(2)
    totals = {"sent": 0, "lines read": 0, "cut off": 0}
    if TROUBLE:
        record(BAD_CLIENTS, "bad clients send", COMMANDS, "commands each, with", len(VALUE), "bytes of value")
        for number in range(BAD_CLIENTS):
            threading.Thread(target=bad_client, args=(number, door.port, totals), daemon=True).start()
    peak, killed = 0.0, False
    while time.monotonic() < end and not killed:
        resident = door.resident_mb()
        peak = max(peak, resident)
        if resident > MEMORY_MB:
            # The platform: "Over memory_mb the front door is killed."
            record.say("the platform kills the front door:", round(resident, 1), "MB resident, limit", MEMORY_MB)
            door.process.kill()
            killed = True
        await asyncio.sleep(0.005)
    await asyncio.gather(*clients)
    record.say("peak", round(peak, 1), "MB; usual clients:", counts, "; bad clients:", totals)
    if not killed and door.process.poll() is not None:
        record.say("the front door ended by itself:", door.process.returncode)
        return BROKEN
    return BROKEN if killed else HELD


if __name__ == "__main__":
    main(HERE, case)
