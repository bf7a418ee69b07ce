"""A key that the operator has replaced goes on working on connections that were authenticated with it."""
import base64
import hashlib
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib2"))
from standins import *  # noqa: E402,F403

# Ed25519 as in RFC 8032, section 6, to sign the tokens of the stand-in callers.
P = 2**255 - 19
ORDER = 2**252 + 27742317777372353535851937790883648493
D = -121665 * pow(121666, P - 2, P) % P


def add(a, b):
    u, v = (a[1] - a[0]) * (b[1] - b[0]) % P, (a[1] + a[0]) * (b[1] + b[0]) % P
    w, x = 2 * a[3] * b[3] * D % P, 2 * a[2] * b[2] % P
    e, f, g, h = v - u, x - w, x + w, v + u
    return e * f % P, g * h % P, f * g % P, e * h % P


def multiply(scalar, point):
    result = (0, 1, 1, 0)
    while scalar:
        if scalar & 1:
            result = add(result, point)
        point, scalar = add(point, point), scalar >> 1
    return result


def base_point():
    y = 4 * pow(5, P - 2, P) % P
    square = (y * y - 1) * pow(D * y * y + 1, P - 2, P) % P
    x = pow(square, (P + 3) // 8, P)
    if (x * x - square) % P:
        x = x * pow(2, (P - 1) // 4, P) % P
    x = P - x if x & 1 else x
    return x, y, 1, x * y % P


BASE = base_point()


def compress(point):
    z = pow(point[2], P - 2, P)
    x, y = point[0] * z % P, point[1] * z % P
    return (y | (x & 1) << 255).to_bytes(32, "little")


def expand(secret):
    digest = hashlib.sha512(secret).digest()
    scalar = int.from_bytes(digest[:32], "little") & ((1 << 254) - 8) | 1 << 254
    return scalar, digest[32:]


def public(secret):
    return compress(multiply(expand(secret)[0], BASE))


def sign(secret, message):
    scalar, prefix = expand(secret)
    r = int.from_bytes(hashlib.sha512(prefix + message).digest(), "little") % ORDER
    point = compress(multiply(r, BASE))
    h = int.from_bytes(hashlib.sha512(point + public(secret) + message).digest(), "little") % ORDER
    return point + ((r + h * scalar) % ORDER).to_bytes(32, "little")


def text(data):
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def token(secret, number):
    now = time.time()
    claims = {"iss": "https://login.example.org", "aud": "quillramp", "sub": "radiology", "jti": f"token-{number}",
              "exp": now + 600, "iat": now - 1, "customers": [f"{1:016x}"]}
    head = text(json.dumps({"alg": "EdDSA", "kid": "signing"}).encode())
    body = head + "." + text(json.dumps(claims).encode())
    return (body + "." + text(sign(secret, body.encode()))).encode()


def operator_file(path, secret):
    with open(path + ".new", "w") as file:
        file.write('[identity]\nissuer = "https://login.example.org"\naudience = "quillramp"\n'
                   f'[[identity.key]]\nid = "signing"\nsigns = "EdDSA"\nx = "{text(public(secret))}"\n')
    os.rename(path + ".new", path)


class Caller:
    def __init__(self, port, record):
        self.port, self.record, self.requests = port, record, 0

    async def connect(self, words):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(bulk("AUTH", words))
        answer = await asyncio.wait_for(read_answer(self.reader), 3)
        self.record.say("AUTH:", answer)
        return answer == ("pong", "+OK")

    async def book(self, number):
        self.writer.write(call("CALL.POST", 1, number, "rezervace", "rozsireny", 2500, body=b"patient"))
        return await asyncio.wait_for(read_answer(self.reader), 4)


async def case(record, processes):
    async def serve(backend, words, connection):
        return value(b"booked " + words[2])

    backends = [Backend(f"s{i}", record, serve) for i in range(9)]
    for backend in backends:
        await backend.start()
    discovery, counter = Discovery(backends), Counter()
    await discovery.start()
    await counter.start()
    told = settings([operation("rezervace", 1000, 3000, "fragile", gain=5.0)], [plan("rozsireny", 16, 40)])
    old, new = hashlib.sha256(b"old").digest(), hashlib.sha256(b"new").digest()
    path = os.path.join(processes.folder, "operator.toml")
    operator_file(path, old)
    door = FrontDoor(processes, told, discovery.port, counter.port, operator=path)
    door.start()
    if not await door.ready():
        record.say(processes.log("n0"))
        return NOT_RUN
    await asyncio.sleep(1.2)
    caller = Caller(door.port, record)
    if not await caller.connect(token(old, 1)):
        return NOT_RUN
    record.say("before:", await caller.book(1))
    if TROUBLE:
        operator_file(path, new)
        os.kill(door.pid, signal.SIGHUP)
        record.say("the operator has replaced the key, SIGHUP")
    served = 0
    for second in range(1, 9):
        await asyncio.sleep(1)
        answer = await caller.book(1 + second)
        record.say(f"{second} s later, by the token of the old key:", answer)
        served += second >= 5 and answer is not None and answer[0] == "value"
    if TROUBLE:
        record.say("new connections, token of the old key and of the new one:")
        again, fresh = Caller(door.port, record), Caller(door.port, record)
        if await again.connect(token(old, 2)) or not await fresh.connect(token(new, 3)):
            return NOT_RUN
        return BROKEN if served else HELD
    return HELD if served == 4 else BROKEN


if __name__ == "__main__":
    main(HERE, case)
