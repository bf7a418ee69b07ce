"""A long value that its backend writes slowly is cut off by the front door while the backend still gives it."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))
from standins import *  # noqa: E402,F403

PIECE = 20 * 1024
PIECES = 10               # 200 KiB in all
PAUSE = 0.4 if TROUBLE else 0.0
WAIT_MS = 1500
CLIENTS = 5


def content(request):
    return (request * (PIECE * PIECES // len(request) + 1))[:PIECE * PIECES]


async def write_slowly(backend, words, connection):
    """Writes the value in pieces, the first one at once, and never stops before its end."""
    whole = content(words[2])
    connection.writer.write(b"*3\r\n$%d\r\n" % len(whole))
    for start in range(0, len(whole), PIECE):
        if start and PAUSE:
            await asyncio.sleep(PAUSE)
        if connection.writer.is_closing() or connection.reader.at_eof():
            backend.record("backend", backend.name, words[2].decode(), "connection ended after", start, "bytes")
            return None
        connection.writer.write(whole[start:start + PIECE])
        await connection.writer.drain()
        backend.record("backend", backend.name, words[2].decode(), "wrote", start + PIECE, "of", len(whole))
    return b"\r\n$-1\r\n$-1\r\n"


async def client(number, port, record):
    """One request; reads all that comes as soon as it comes."""
    request = f"{number + 1:016x}"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sent = time.monotonic()
    record("client", number, "sends", request)
    writer.write(call("CALL.GET", number + 1, number + 1, "volne-terminy", "rozsireny", WAIT_MS))
    got, first = b"", None
    while True:
        data = await asyncio.wait_for(reader.read(1 << 16), 20)
        if data and first is None:
            first = time.monotonic() - sent
        got += data
        head, _, rest = got.partition(b"\r\n")
        if not data or head.startswith(b"-") or head.startswith(b"$") and len(rest) >= int(head[1:]) + 2:
            break
    after = time.monotonic() - sent
    if not got.startswith(b"$"):
        outcome = "answered " + repr(got[:30])
    elif rest[:-2] == content(request.encode()):
        outcome = "whole"
    else:
        outcome = "cut off"
    record.say(f"client {number}: {outcome}; first byte after {first or 0:.2f} s, end after {after:.2f} s,",
               len(rest), "bytes of the value")
    writer.close()
    return outcome


async def case(record, processes):
    backends = [Backend(f"s{i}", record, write_slowly) for i in range(9)]
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
    outcomes = await asyncio.gather(*(client(i, door.port, record) for i in range(CLIENTS)))
    record("log of the front door:", processes.log("n0").replace("\n", " | "))
    return BROKEN if "cut off" in outcomes else HELD


if __name__ == "__main__":
    main(HERE, case)
