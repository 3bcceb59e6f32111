"""Starts and stops an anvilwheel environment of real processes on loopback.

Used by the demo and by the system tests. Only the standard library is needed.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import time

CONTROL_COUNT = 3


class Response:
    """A complete HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    @property
    def outcome(self):
        return self.headers.get("anvil-outcome", "")

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, headers=None, timeout=10):
    """Sends one request and returns the Response. Raises OSError or HTTPException if there is none."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Response(answer.status, answer.getheaders(), answer.read().decode())
    finally:
        connection.close()


def claim_port_range(count):
    """Returns a bound socket on the first of `count` consecutive ports, and that port.

    The socket stays bound while the range is in use, so that two environments on one machine never share ports.
    """
    # Below the ephemeral ports that the kernel assigns to outgoing connections.
    bases = list(range(20000, 32000, count))
    first = os.getpid() % len(bases)
    for base in bases[first:] + bases[:first]:
        reserved_socket = socket.socket()
        try:
            reserved_socket.bind(("127.0.0.1", base))
            return reserved_socket, base
        except OSError:
            reserved_socket.close()
    raise RuntimeError("no free ports")


def accepts_connections(address):
    """Returns true if a process listens on the address; raises OSError otherwise."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=1):
        return True


def wait_until(condition, seconds, description):
    """Waits until condition() is true; connection and parse errors count as false.

    Raises TimeoutError with `description`.
    """
    end = time.monotonic() + seconds
    while True:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        if time.monotonic() > end:
            raise TimeoutError(f"not within {seconds} s: {description}")
        time.sleep(0.05)


class Environment:
    """A set of named processes with a work directory for logs and data.

    Usage: with Environment(build_dir, work_dir) as env: env.start_controls(); env.start_entry(1, "north"); ...
    """

    def __init__(self, build_dir, work_dir):
        self.build_dir = build_dir
        self.work_dir = work_dir
        self.reserved_socket, self.base_port = claim_port_range(1000)
        self.processes = {}
        self.commands = {}
        self.next_port = self.base_port + 100
        os.makedirs(work_dir, exist_ok=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()
        self.reserved_socket.close()

    # ---- processes ----

    def start(self, name, program, *arguments):
        """Starts a program that logs to the work directory."""
        self.commands[name] = (program, arguments)
        with open(os.path.join(self.work_dir, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.build_dir, program), *map(str, arguments)], stdout=log, stderr=log
            )

    def restart(self, name):
        """Starts a program again with its previous arguments."""
        program, arguments = self.commands[name]
        self.start(name, program, *arguments)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Ends a process at once, as a crash would."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name, seconds=15):
        """Asks a process to end and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout=seconds)

    def stop_all(self):
        running = [each for each in self.processes.values() if each.poll() is None]
        for each in running:
            each.send_signal(signal.SIGCONT)
            each.terminate()
        end = time.monotonic() + 5
        for each in running:
            try:
                each.wait(timeout=max(end - time.monotonic(), 0.01))
            except subprocess.TimeoutExpired:
                each.kill()
                each.wait()

    def log(self, name):
        with open(os.path.join(self.work_dir, name + ".log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    # ---- the parts of an environment ----

    def allocate_ports(self, count):
        first = self.next_port
        self.next_port += count
        return first

    def control_address(self, number):
        return f"127.0.0.1:{self.base_port + number}"

    def entry_address(self, number):
        return f"127.0.0.1:{self.base_port + 20 + number}"

    def controls(self, numbers=range(1, CONTROL_COUNT + 1)):
        return ",".join(self.control_address(number) for number in numbers)

    def data_folder(self, number):
        return os.path.join(self.work_dir, f"data-{number}")

    def start_control(self, number, replicas=range(1, CONTROL_COUNT + 1), bootstrap=True):
        """Starts a control replica that knows the addresses of the given replicas."""
        addresses = ",".join(f"{each}={self.control_address(each)}" for each in replicas)
        self.start(f"control-{number}", "anvil-control", "--name", f"control-{number}", "--availability-zone",
                   f"zone-{number}", "--replica-id", number, "--replicas", addresses, "--data",
                   self.data_folder(number), *(["--bootstrap"] if bootstrap else []))

    def start_controls(self):
        for number in range(1, CONTROL_COUNT + 1):
            self.start_control(number)

    def start_entry(self, number, zone, controls=range(1, CONTROL_COUNT + 1)):
        self.start(f"entry-{number}", "anvil-entry", "--name", f"entry-{number}", "--availability-zone", zone,
                   "--listen", self.entry_address(number), "--control", self.controls(controls))

    def start_workers(self, zone, count, *options):
        """Starts simulated workers of 8 accelerators, 3 to a rack, and an agent beside each."""
        port = self.allocate_ports(count)
        agent_port = self.allocate_ports(count)
        self.start(f"{zone}-workers", "anvil-fake-worker", "--listen", f"127.0.0.1:{port}", "--targets", count, *options)
        for index in range(count):
            vm = f"{zone}-worker-{index + 1}"
            self.start(f"{vm}-agent", "anvil-agent", "--kind", "worker", "--vm", vm, "--availability-zone", zone,
                       "--rack", f"rack-{index // 3 + 1}", "--worker", f"127.0.0.1:{port + index}", "--accelerators", 8,
                       "--cores", 64, "--memory-mib", 262144, "--listen", f"127.0.0.1:{agent_port + index}",
                       "--control", self.controls())
        return [f"127.0.0.1:{port + index}" for index in range(count)]

    def start_minions(self, zone, count, *options):
        """Starts simulated minions of the service "desk" and an agent beside each; returns the minions' addresses."""
        port = self.allocate_ports(count)
        agent_port = self.allocate_ports(count)
        self.start(f"{zone}-minions", "anvil-fake-minion", "--listen", f"127.0.0.1:{port}", "--targets", count,
                   "--name", zone, *options)
        for index in range(count):
            vm = f"{zone}-minion-{index + 1}"
            self.start(f"{vm}-agent", "anvil-agent", "--kind", "minion", "--vm", vm, "--availability-zone", zone,
                       "--rack", "rack-1", "--service", "desk", "--minion", f"127.0.0.1:{port + index}", "--listen",
                       f"127.0.0.1:{agent_port + index}", "--control", self.controls())
        return [f"127.0.0.1:{port + index}" for index in range(count)]

    # ---- calls ----

    def request(self, entry, path, request_class, key=None, body="grit=2mm", timeout=15, request_id=None):
        """Sends one request of the workspace "pricing" to the service "desk" through an entry."""
        headers = {"Anvil-Workspace": "pricing", "Anvil-Class": request_class, "Content-Type": "text/plain"}
        if key:
            headers["Idempotency-Key"] = key
        if request_id:
            headers["X-Request-Id"] = request_id
        return call(self.entry_address(entry), "POST", f"/services/desk/{path}", body, headers, timeout)

    def ctl(self, *words, entries=(1, 2), check=True, seconds=60):
        """Runs anvilctl and returns its output. Raises RuntimeError with the errors if it fails and `check` is set."""
        addresses = ",".join(self.entry_address(number) for number in entries)
        done = subprocess.run([os.path.join(self.build_dir, "anvilctl"), "--entry", addresses, "--operator", "demo",
                               *map(str, words)], capture_output=True, text=True, timeout=seconds, check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"anvilctl {' '.join(map(str, words))}: exit {done.returncode}: {done.stderr.strip()}")
        return done.stdout

    def ctl_json(self, *words):
        return json.loads(self.ctl(*words, "--output", "json"))

    def leader(self):
        """Returns the number of the leading control replica, or 0."""
        return self.ctl_json("status")["replica"]["leader"]

    def wait_ready(self, targets, config):
        """Waits for a leader, applies a configuration and waits until all targets are up and both entries are ready."""
        wait_until(lambda: call(self.entry_address(1), "GET", "/healthz").status == 200, 15, "entry 1 answers")
        self._apply_when_possible(config)
        wait_until(lambda: sum(each["phase"] == "up" for each in self.ctl_json("targets")) == targets, 20,
                   f"{targets} targets are up")
        for name in list(self.processes):
            if name.startswith("entry-"):
                address = self.entry_address(int(name.split("-")[1]))
                wait_until(lambda: call(address, "GET", "/readyz").status == 200, 15, f"{name} is ready")

    def _apply_when_possible(self, config):
        def applied():
            try:
                self.ctl("config", "apply", config)
                return True
            except RuntimeError:
                return False
        wait_until(applied, 20, "the configuration is accepted")


def minion_counts(address):
    """Returns the counts of a simulated minion, with every key and request id."""
    return call(address, "GET", "/counts?full").json()
