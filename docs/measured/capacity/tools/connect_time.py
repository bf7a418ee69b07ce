"""Opens 840 connections to one counter member, one after another, and prints the listener's queue and those that took over 50 ms."""

import pathlib
import socket
import subprocess
import tempfile
import time

import counter_cost

CONNECTIONS = 840  # two for each of 420 gateway instances
SLOW_SECONDS = 0.05


def main():
    with tempfile.TemporaryDirectory() as folder:
        members, ports, _ = counter_cost.start_members("target/release/quillramp-counter", 1, pathlib.Path(folder))
        try:
            time.sleep(counter_cost.START_SECONDS)
            print(subprocess.run(["ss", "-ltn", "sport", "=", str(ports[0])], capture_output=True, text=True).stdout)
            connections, durations = [], []
            for _ in range(CONNECTIONS):
                began = time.monotonic()
                connections.append(socket.create_connection(("127.0.0.1", ports[0])))
                durations.append(time.monotonic() - began)
            slow = [(i, round(t, 3)) for i, t in enumerate(durations) if t > SLOW_SECONDS]
            print(f"{CONNECTIONS} connections in {sum(durations):.2f} s; over {SLOW_SECONDS} s: {slow}")
        finally:
            members[0].terminate()
            members[0].wait()


if __name__ == "__main__":
    main()
