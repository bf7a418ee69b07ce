"""A booking that is written whole waits for slow senders of long bodies past its time, and runs then."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib2"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 64            # LATER.md: 32 to 192 MB
SLOW_CLIENTS = 4 if TROUBLE else 0
SLOW_BYTES = 4 << 20      # DAYS.md: values of up to 4 MiB occur
SLOW_SECONDS = 16.0
BODY = 180_000            # bytes of a usual booking's value
WAIT_MS = 3000
LATE = WAIT_MS / 1000 + 0.5 + 0.05  # STANDING.md: half a second after its time; PROTOCOL.md: 50 ms of slack
SECONDS = 18


async def slow_client(number, port, record):
    """Writes one booking evenly over SLOW_SECONDS."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    command = call("CALL.POST", 50 + number, (number + 1) << 32, "rezervace", "rozsireny", WAIT_MS, body=b"s" * SLOW_BYTES)
    start, sent = time.monotonic(), 0
    record("slow client", number, "begins to write", len(command), "bytes")
    while sent < len(command):
        due = int(len(command) * min(1.0, (time.monotonic() - start) / SLOW_SECONDS))
        writer.write(command[sent:due])
        await writer.drain()
        sent = max(sent, due)
        await asyncio.sleep(0.1)
    record("slow client", number, "has written all")
    answer = await asyncio.wait_for(read_answer(reader), 30)
    record("slow client", number, "answer", answer and answer[0])
    writer.close()


async def usual_client(number, port, record, answers):
    """Writes one booking at once, on a connection of its own, and waits for its answer."""
    request = number + 1
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    writer.write(call("CALL.POST", 100 + number % 10, request, "rezervace", "rozsireny", WAIT_MS, body=b"b" * BODY))
    await asyncio.sleep(0.02)
    left = writer.transport.get_write_buffer_size()
    written = time.monotonic()
    record("usual client", number, "has written", f"{request:016x}", "; not yet accepted by the system:", left)
    try:
        answer = await asyncio.wait_for(read_answer(reader), 40)
    except asyncio.TimeoutError:
        answer = ("silent", "")
    waited = time.monotonic() - written
    answers[request] = (answer and answer[0], waited, left)
    record("usual client", number, "answer", answer and answer[0], f"after {waited:.2f} s")
    writer.close()


async def case(record, processes):
    begun = {}

    async def serve(backend, words, connection):
        begun[int(words[2], 16)] = time.monotonic()
        await asyncio.sleep(0.12)
        return value(b"booked " + words[2])

    backends = [Backend(f"s{i}", record, serve) for i in range(9)]
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
    answers = {}
    tasks = [asyncio.create_task(slow_client(i, door.port, record)) for i in range(SLOW_CLIENTS)]
    for number in range(2 * SECONDS):
        await asyncio.sleep(0.5)
        tasks.append(asyncio.create_task(usual_client(number, door.port, record, answers)))
    await asyncio.wait(tasks, timeout=45)
    late = {request: waited for request, (kind, waited, left) in answers.items() if waited > LATE and left == 0}
    missing = 2 * SECONDS - len(answers)
    kinds = [kind for kind, _, _ in answers.values()]
    record.say(f"{2 * SECONDS} bookings: answers {({kind: kinds.count(kind) for kind in set(kinds)})}, without one {missing}; "
               f"later than {LATE:.2f} s: {len(late)}, the last after {max((w for _, w, _ in answers.values()), default=0):.2f} s; "
               f"of the late ones run by a backend: {sum(request in begun for request in late)}")
    return BROKEN if late or missing else HELD


if __name__ == "__main__":
    main(HERE, case)
