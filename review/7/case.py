"""At SIGTERM a front door resets a connection over answers that its client has not received yet."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))
from standins import *  # noqa: E402,F403

CLIENTS = 4
AT_ONCE = 6                # commands that a client sends at once
VALUE = 60_000             # bytes of an answer; PROTOCOL.md: a value holds 64 KiB at most
READ_EACH = 0.1            # a client reads READ_BYTES bytes in this time
READ_BYTES = 20_000
WAIT_MS = 2500


def content(request):
    return (request * (VALUE // len(request) + 1))[:VALUE]


class Client:
    """Sends several commands at once and one more each 0.25 s as long as its connection stays open; reads slowly."""

    def __init__(self, number, port, record):
        self.number, self.record = number, record
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.sent, self.answers, self.buffer, self.ended = [], [], b"", None

    def send(self, count):
        for _ in range(count):
            request = (self.number + 1) << 16 | len(self.sent) + 1
            command = call("CALL.POST", self.number + 1, request, "rezervace", "rozsireny", WAIT_MS, body=b"patient")
            try:
                self.socket.send(command)
            except OSError as error:
                self.record("client", self.number, "can't send:", repr(error))
                return
            self.sent.append(b"%016x" % request)
            self.record("client", self.number, "sends", self.sent[-1].decode())

    async def read(self, end):
        """Reads slowly until the end of the connection."""
        while time.monotonic() < end and self.ended is None:
            try:
                data = self.socket.recv(READ_BYTES)
                self.buffer += data
                self.ended = None if data else "closed"
            except BlockingIOError:
                pass
            except OSError as error:
                self.ended = repr(error)
            while (answer := self.take()) is not None:
                self.answers.append(answer)
                self.record("client", self.number, "answer", len(self.answers), answer[:24])
            await asyncio.sleep(READ_EACH)

    def take(self):
        """Takes the next whole answer from the buffer."""
        head, line, rest = self.buffer.partition(b"\r\n")
        if not line:
            return None
        if not head.startswith(b"$"):
            self.buffer = rest
            return head
        length = int(head[1:])
        if len(rest) < length + 2:
            return None
        self.buffer = rest[length + 2:]
        return rest[:length]


async def case(record, processes):
    async def serve(backend, words, connection):
        await asyncio.sleep(0.05)
        return value(content(words[2]))

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
    clients = [Client(number, door.port, record) for number in range(CLIENTS)]
    end = time.monotonic() + 15
    reading = [asyncio.create_task(client.read(end)) for client in clients]
    for client in clients:
        client.send(AT_ONCE)
    await asyncio.sleep(0.3)
    if TROUBLE:
        record.say("SIGTERM")
        os.kill(door.pid, signal.SIGTERM)
    for _ in range(10):
        await asyncio.sleep(0.25)
        for client in clients:
            if client.ended is None:
                client.send(1)
    await asyncio.gather(*reading)
    ran = {request for backend in backends for request in backend.ran}
    lost = 0
    for client in clients:
        # An answer that had begun to arrive is not counted: its client can tell that it is not whole.
        first = len(client.answers) + (1 if client.buffer else 0)
        unanswered = [request.decode() for request in client.sent[first:] if request in ran]
        wrong = [answer for request, answer in zip(client.sent, client.answers)
                 if not answer.startswith(b"-") and answer != content(request)]
        record.say(f"client {client.number}: sent {len(client.sent)}, answers {len(client.answers)} "
                   f"(values {sum(not answer.startswith(b'-') for answer in client.answers)}), end: {client.ended}; "
                   f"ran and not answered: {len(unanswered)}; wrong: {len(wrong)}")
        record("client", client.number, "ran and not answered:", unanswered)
        lost += len(unanswered)
    record("log of the front door:", processes.log("n0").replace("\n", " | "))
    record.say("requests that ran and whose connection was ended without their answer:", lost)
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(HERE, case)
