"""Measures the operator's tools: seconds of `quillramp check` by the size of a file, and bytes of the responses at `mgmt`."""

import argparse
import csv
import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

import front_door_cost
import processes

SIZES = [(60, 0), (295, 0), (530, 0), (765, 0), (1000, 0), (0, 1000), (0, 4000), (0, 7000), (0, 10000), (0, 13000)]


def check(program, example, routes, contracts):
    """Seconds and processor seconds of one check; its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        file = front_door_cost.operator_file(folder, routes, contracts)
        before, began = resource.getrusage(resource.RUSAGE_CHILDREN), time.monotonic()
        done = subprocess.run([program, "check", str(file), "--configuration", example], capture_output=True)
        elapsed, after = time.monotonic() - began, resource.getrusage(resource.RUSAGE_CHILDREN)
        spent = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        return file.stat().st_size, round(elapsed, 4), round(spent, 4), done.returncode


def response_sizes(arguments, backends):
    """Bytes of the responses at `mgmt` of a gateway instance with so many backends."""
    with tempfile.TemporaryDirectory() as folder:
        port, counter, mgmt = processes.free_ports(3)
        server = front_door_cost.Server(("127.0.0.1", 0), front_door_cost.handler(front_door_cost.Listing(backends)))
        threading.Thread(target=server.serve_forever, daemon=True).start()
        file = front_door_cost.configuration(arguments.example, folder, port, server.server_address[1], counter, 420)
        configuration = json.loads(file.read_text())
        configuration["mgmt"] = f"127.0.0.1:{mgmt}"
        file.write_text(json.dumps(configuration))
        environment = dict(os.environ, TMPDIR=folder, EDGE_CONFIG=str(file))
        with open(pathlib.Path(folder) / "log", "w") as log:
            process = subprocess.Popen([arguments.program], env=environment, stdout=log, stderr=log)
            try:
                front_door_cost.wait_until_ready(port, process)
                time.sleep(front_door_cost.SETTLE_SECONDS)
                for path in ("healthcheck", "stats", "contracts"):
                    with urllib.request.urlopen(f"http://127.0.0.1:{mgmt}/{path}") as response:
                        yield path, len(response.read())
            finally:
                process.terminate()
                process.wait()
                server.shutdown()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="target/release/quillramp")
    parser.add_argument("--example", default="examples/configuration.json")
    arguments = parser.parse_args()
    print("# operator_tools.py", " ".join(sys.argv[1:]))
    writer = csv.writer(sys.stdout)
    writer.writerow(["what", "routes", "contracts", "bytes", "seconds", "processor_s", "exit_code"])
    for routes, contracts in SIZES:
        writer.writerow(["check", routes, contracts, *check(arguments.program, arguments.example, routes, contracts)])
    for path, size in response_sizes(arguments, 3800):
        writer.writerow([f"GET /{path}", 0, 0, size, "", "", ""])


if __name__ == "__main__":
    main()
