"""A long value that breaks off takes along the answers to all other requests on its client's connection."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib2"))
from standins import *  # noqa: E402,F403

CLIENTS = 5
LONG = 300_000        # bytes of the long value; DAYS.md allows 4 MiB


def content(request, length):
    return (request * (length // len(request) + 1))[:length]


async def serve(backend, words, connection):
    """Answers a booking at once with a short value, a lookup with a long one. With trouble, the connection of a lookup is
    reset in the middle of its value."""
    if words[0] == b"CALL.POST":
        await asyncio.sleep(0.02)
        return value(content(words[2], 100))
    await asyncio.sleep(0.1)
    whole = value(content(words[2], LONG))
    if not TROUBLE:
        return whole
    connection.writer.write(whole[:LONG // 2])
    await connection.writer.drain()
    await asyncio.sleep(0.05)
    backend.record("backend", backend.name, "resets the connection within the value for", words[2].decode())
    connection.reset()
    return None


async def client(number, port, record, ran):
    """Sends one lookup and three bookings of other customers at once; returns how many that ran have no answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    requests = [(number + 1) << 8 | i for i in range(4)]
    commands = call("CALL.GET", 100 + number, requests[0], "volne-terminy", "rozsireny", 1500)
    for i, request in enumerate(requests[1:]):
        commands += call("CALL.POST", 200 + 10 * number + i, request, "rezervace", "rozsireny", 3000, body=b"patient")
    writer.write(commands)
    record("client", number, "sends", [f"{request:016x}" for request in requests])
    answers = []
    for request in requests:
        answer = await asyncio.wait_for(read_answer(reader), 6)
        record("client", number, f"{request:016x}", "answer", answer and (answer[0], len(answer[1])))
        if answer is None:
            break
        answers.append(answer)
    writer.close()
    await asyncio.sleep(0.5)
    bookings = [b"%016x" % request for request in requests[1:]]
    lost = [request.decode() for request in bookings[max(len(answers) - 1, 0):] if request in ran()]
    record.say(f"client {number}: {len(answers)} answers to 4 requests; bookings that ran and were not answered:", len(lost))
    return len(lost)


async def case(record, processes):
    backends = [Backend(f"s{i}", record, serve) for i in range(9)]
    for backend in backends:
        await backend.start()
    discovery, counter = Discovery(backends), Counter()
    await discovery.start()
    await counter.start()
    told = settings([operation("volne-terminy", 400, 1500, "retryable"),
                     operation("rezervace", 1000, 3000, "fragile", gain=5.0)],
                    [plan("zakladni", 2.5, 10), plan("rozsireny", 16, 40)])
    door = FrontDoor(processes, told, discovery.port, counter.port)
    door.start()
    if not await door.ready():
        return NOT_RUN
    await asyncio.sleep(1)

    def ran():
        return {request for backend in backends for request in backend.ran}

    lost = sum(await asyncio.gather(*(client(i, door.port, record, ran) for i in range(CLIENTS))))
    record("log of the front door:", processes.log("n0").replace("\n", " | "))
    record.say("bookings that ran and were never answered:", lost)
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(HERE, case)
