"""Measures what a counter member spends on each call: processor time, disk writes, memory, threads, bytes on the wire.

Members are processes of quillramp-counter on loopback. Callers send one call in each write, at a steady rate that does not wait for
answers, over connections that are assigned to the members in turn. Rows go to standard output as CSV.
"""

import argparse
import collections
import csv
import multiprocessing
import pathlib
import random
import select
import socket
import subprocess
import sys
import tempfile
import time

import processes

SETTLE_SECONDS = 0.5
START_SECONDS = 1.0
CALL = (
    "POST /counters/{name}?by={by}&expire_ms=45000 HTTP/1.1\r\n"
    "Host: 127.0.0.1:{port}\r\nContent-Length: 0\r\n\r\n"
)
ANSWER = b"HTTP/1.1 "
WELL = b"HTTP/1.1 200"


def drive(ports, rate, seconds, tenants, series, seed, connected, result):
    """Sends `rate` calls a second for `seconds`, one in each write; puts counts, bytes and latencies into `result`."""
    chance = random.Random(seed)
    poll, links = select.epoll(), {}
    began = time.monotonic()
    for port in ports:
        s = socket.create_connection(("127.0.0.1", port))
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        s.setblocking(False)
        poll.register(s.fileno(), select.EPOLLIN)
        links[s.fileno()] = (s, port, collections.deque())
    order = list(links.values())
    sent = sent_bytes = answered = well = received_bytes = 0
    took = []
    connect_seconds = time.monotonic() - began
    connected.wait()
    began = time.monotonic()
    while True:
        now = time.monotonic()
        due = int(min(now - began, seconds) * rate)
        while sent < due:
            s, port, out = order[sent % len(order)]
            name = f"{chance.randrange(tenants) + (1 << 31):x}.{series}"
            call = CALL.format(name=name, by=chance.randrange(1, 4), port=port).encode()
            s.send(call)
            out.append(now)
            sent += 1
            sent_bytes += len(call)
        if now > began + seconds and (answered >= sent or now > began + seconds + 2.0):
            break
        for fd, _ in poll.poll(0.0005):
            s, _, out = links[fd]
            body = s.recv(1 << 16)
            heard = time.monotonic()
            received_bytes += len(body)
            well += body.count(WELL)
            for _ in range(min(body.count(ANSWER), len(out))):
                answered += 1
                took.append(heard - out.popleft())
    result.put((sent, answered, well, sent_bytes, received_bytes, took, connect_seconds))


def start_members(program, number, folder):
    """Starts the members; returns the processes, their ports for calls and their log files."""
    ports = processes.free_ports(2 * number)
    calls, peers = ports[:number], ports[number:]
    members, logs = [], []
    for i in range(number):
        command = [program, "serve", "--listen", f"127.0.0.1:{calls[i]}", "--data", str(folder / f"{i + 1}"), "--id", str(i + 1)]
        for j in range(number):
            command += ["--member", f"{j + 1}=127.0.0.1:{peers[j]}"]
        logs.append(folder / f"member-{i + 1}.log")
        members.append(subprocess.Popen(command, stderr=logs[-1].open("w"), stdout=subprocess.DEVNULL))
    return members, calls, logs


def leader_of(logs):
    """The leader's number, by the members' logs; 0 if there is none."""
    leaders = [line.split(": member ")[-1].split()[0] for log in logs for line in log.read_text().splitlines() if "leads" in line and "nobody" not in line]
    return int(leaders[-1]) if leaders else 0


def measure(arguments, rate, members, ports, logs, writer, series):
    """One point: drives the members at a rate and writes a row for each member."""
    each = [ports[i % len(ports)] for i in range(arguments.connections)]
    results, callers = multiprocessing.Queue(), []
    connected = multiprocessing.Barrier(arguments.callers + 1)
    half = (len(each) + arguments.callers - 1) // arguments.callers
    for c in range(arguments.callers):
        mine = each[c * half:(c + 1) * half]
        given = (mine, rate / arguments.callers, arguments.seconds, arguments.tenants, series, c, connected, results)
        callers.append(multiprocessing.Process(target=drive, args=given))
    for caller in callers:
        caller.start()
    connected.wait()
    time.sleep(SETTLE_SECONDS)
    before = [(processes.processor_seconds(m.pid), processes.bytes_written(m.pid)) for m in members]
    began = time.monotonic()
    time.sleep(arguments.seconds - 2 * SETTLE_SECONDS)
    span = time.monotonic() - began
    after = [(processes.processor_seconds(m.pid), processes.bytes_written(m.pid)) for m in members]
    threads = [processes.status(m.pid, "Threads") for m in members]
    memory = [processes.status(m.pid, "VmRSS") for m in members]
    peaks = [processes.status(m.pid, "VmHWM") for m in members]
    found = [results.get() for _ in callers]
    for caller in callers:
        caller.join()
    sent, answered, well, out, into = (sum(f[k] for f in found) for k in range(5))
    took = sorted(t for f in found for t in f[5])
    quantile = lambda q: 1e3 * took[min(int(len(took) * q), len(took) - 1)] if took else 0.0
    leader = leader_of(logs)
    for i in range(len(members)):
        writer.writerow([
            arguments.members, i + 1, "leader" if leader == i + 1 else "follower", arguments.connections, rate,
            round(sent / arguments.seconds), round(well / arguments.seconds), sent - answered,
            round((after[i][0] - before[i][0]) / span, 4), round((after[i][1] - before[i][1]) / span),
            memory[i], peaks[i], threads[i], round(out / max(sent, 1), 1), round(into / max(answered, 1), 1),
            round(quantile(0.5), 2), round(quantile(0.99), 2), round(max(f[6] for f in found), 2),
        ])
    sys.stdout.flush()


HEAD = [
    "members", "member", "role", "connections", "offered_calls_s", "sent_calls_s", "well_calls_s", "unanswered",
    "cores", "disk_write_bytes_s", "rss_kb", "peak_rss_kb", "threads", "request_bytes", "response_bytes", "median_ms", "p99_ms", "connect_s",
]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="target/release/quillramp-counter")
    parser.add_argument("--members", type=int, default=1)
    parser.add_argument("--connections", type=int, default=100)
    parser.add_argument("--rates", default="2000,5000,10000,20000")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--tenants", type=int, default=14000)
    parser.add_argument("--callers", type=int, default=2)
    arguments = parser.parse_args()
    print("# counter_cost.py", " ".join(sys.argv[1:]))
    writer = csv.writer(sys.stdout)
    writer.writerow(HEAD)
    with tempfile.TemporaryDirectory() as folder:
        members, ports, logs = start_members(arguments.program, arguments.members, pathlib.Path(folder))
        try:
            time.sleep(START_SECONDS)
            for i, rate in enumerate(float(r) for r in arguments.rates.split(",")):
                measure(arguments, rate, members, ports, logs, writer, 59_000_000 + i)
        finally:
            for m in members:
                m.terminate()
                m.wait()


if __name__ == "__main__":
    main()
