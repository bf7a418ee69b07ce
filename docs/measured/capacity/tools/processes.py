"""Reads what Linux reports about a process: processor time, memory, threads and bytes written."""

import os
import pathlib
import socket


def processor_seconds(pid):
    """Processor seconds of a process, in steps of a clock tick (10 ms); of threads that have ended too."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def processor_seconds_of_threads(pid):
    """Processor seconds of the threads that a process has now (scheduler statistics, nanoseconds)."""
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def status(pid, field):
    """A numeric field of /proc/PID/status; memory is in kB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1])
    raise KeyError(field)


def bytes_written(pid):
    """Bytes that a process caused to be written to the storage layer."""
    for line in pathlib.Path(f"/proc/{pid}/io").read_text().splitlines():
        if line.startswith("write_bytes:"):
            return int(line.split()[1])
    raise KeyError("write_bytes")


def free_ports(number):
    """Ports of 127.0.0.1 that are free; chosen while all are held, so that no two are the same."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(number)]
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports
