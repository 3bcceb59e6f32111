"""A small deployment on loopback addresses: the project's programs as separate processes, and stand-ins for the rest.

The programs are started with the commands of deploy/system.toml and get their settings as one JSON file each. Minions,
consumers and the operator are stand-ins that keep to PROTOCOL.md. All that is sent, answered and run goes to a record.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "anvilwheel")
HOST, PREFIX, KEY, SERVICE = "desk.example", "/lohu930/", "d4a3hwrr6x73d3zji9n7", "huvo11a"
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {"SeedLagS": 3, "AddressReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
          "GracePeriodS": 6, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "MaxStretchMs": 5000,
          "StrictRevocation": True, "RevokeMs": 5000, "EvacuationMs": 5000, "RecoveryS": 12, "MaxHoldMs": 6000,
          "StopTimeoutMs": 400, "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14,
          "RemotePenalty": 3, "CheckpointIntervalS": 1, "RestoreMs": 600, "NoticeMs": 4500, "FencingEnabled": False}


class Record:
    """Writes what happens to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, who, what):
        print(f"{self.now():8.3f}  {who}: {what}", file=self.file, flush=True)


# ---- HTTP/1.1 ----

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return first, fields, body


async def request(address, method, path, value=None, headers=None, timeout=1.0, raw=None):
    """Returns (status, body), or None if no complete answer comes in time."""
    body = raw if raw is not None else (json.dumps(value).encode() if value is not None else b"")

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            fields = {"Host": address[0], "Content-Type": "application/json", "Content-Length": len(body),
                      **(headers or {})}
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {text}" for name, text in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        return None


class Server:
    """Serves HTTP until stop(). The handler returns (status, value), or None for no answer at all."""

    def __init__(self, handle):
        self.handle, self.listener, self.writers = handle, None, set()

    async def start(self, address):
        self.listener = await asyncio.start_server(self._serve, *address, reuse_address=True)

    def stop(self):
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.handle(method, path, fields, body)
                if answer is None:
                    await asyncio.sleep(30)
                    return
                status, value = answer
                text = b"" if value is None else json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---- processes ----

class Process:
    """One of the project's programs on one machine."""

    def __init__(self, deployment, name, role, settings):
        self.deployment, self.name, self.role, self.settings = deployment, name, role, settings
        self.path = os.path.join(deployment.folder, name + ".json")
        self.popen = None

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.settings["Bootstrap"] = False
        log = os.path.join(self.deployment.folder, self.name + ".log")
        with open(log, "ab") as output:
            self.popen = subprocess.Popen(
                ["target/anvilwheel", self.role, "--metrics", self.settings["Ip"] + ":9464"], cwd=ROOT, stdout=output,
                stderr=output, stdin=subprocess.DEVNULL,
                env={"ANVILWHEEL_BOOT": self.path, "PATH": os.environ.get("PATH", "/usr/bin:/bin")})
        self.deployment.record.write(self.name, f"process started: anvilwheel {self.role}")

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def send(self, number):
        self.deployment.record.write(self.name, signal.Signals(number).name)
        if self.running():
            self.popen.send_signal(number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.popen.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.wait()

    async def wait(self):
        while self.running():
            await asyncio.sleep(0.005)

    def log_lines(self, event):
        with open(os.path.join(self.deployment.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if f'"event":"{event}"' in line]


class Deployment:
    """Entries with a disk, and workers: a side machine with an agent, and the minion on it."""

    def __init__(self, folder, entries=3, workers=3, bounds=None, tolerated=1):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="anvil-review-")
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.starts, self.runs = [], {}   # starts: (time, minion, life, task, run); runs: task -> set of (minion, life, run)
        self.on_start = None
        self.network = self._free_network()
        zones = ["kochi-hq", "alappuzha-yard", "kollam-depot"]
        entry_ips = [self._ip(1, number) for number in range(entries)]
        self.seeds = [f"{ip}:8526" for ip in entry_ips[:3]]
        self.entries, self.agents, self.minions = [], [], []
        for number, ip in enumerate(entry_ips):
            settings = self._settings(f"frontend-{number + 1}", "frontend", zones[number % 3], ip, tolerated)
            settings["Serves"], settings["CountsAsLoss"] = ["frontend", "control_plane"], True
            settings["DataDir"] = os.path.join(self.folder, f"data-{number + 1}")
            os.makedirs(settings["DataDir"])
            settings["BindAddresses"] = {"FrontendAddress": f"{ip}:8521", "Ready": f"{ip}:8523",
                                         "Control": f"{ip}:8526"}
            self.entries.append(Process(self, settings["NodeName"], "entry", settings))
        for number in range(workers):
            ip, app = self._ip(2, number), (self._ip(3, number), 8122)
            settings = self._settings(f"side-{number + 1}", "side", zones[number % 3], ip, tolerated)
            settings["Serves"], settings["BindAddresses"] = ["side"], {"Control": f"{ip}:8526"}
            settings["app"] = "%s:%d" % app
            self.agents.append(Process(self, settings["NodeName"], "agent", settings))
            self.minions.append(Minion(self, number + 1, zones[number % 3], app, (ip, 8526)))

    def _ip(self, group, number):
        return f"127.{self.network}.{group}.{number + 1}"

    def _free_network(self):
        # Outside of what the soak derives from its seeds (10 to 209), so that both can run on one machine.
        for network in random.sample(range(221, 253), 32):
            try:
                for group, port in ((1, 8521), (1, 8526), (1, 7000), (1, 9464), (2, 8526), (3, 8122)):
                    with socket.socket() as probe:
                        probe.bind((f"127.{network}.{group}.1", port))
                return network
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def _settings(self, name, kind, zone, ip, tolerated):
        return {"NodeName": name, "Role": "entry" if kind == "frontend" else "agent", "MachineClass": kind, "Ip": ip,
                "Zone": zone, "Region": "kerala-south", "InternalPortRange": [7000, 7015], "Seeds": self.seeds,
                "Bootstrap": True, "CountsAsLoss": False, "Discovery": "local", "Entry": "vip", "HeartbeatMs": 1500,
                "config_mode": "highest", "Orders": "push", "Bounds": self.bounds,
                "FaultTolerance": {"Machines": tolerated, "Zones": 1, "Regions": 0}}

    async def start(self):
        for process in self.entries + self.agents:
            process.start()
        for minion in self.minions:
            await minion.begin()

    async def stop(self):
        for minion in self.minions:
            minion.end("the test is over")
        for process in self.entries + self.agents:
            if process.running():
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # -- operator --

    def config(self, version, extra_routes=0):
        routes = [{"Name": "r-7ejsmzz", "Host": HOST, "PathPrefix": PREFIX, "Kind": "unsafe", "TimeoutMs": 3000,
                   "TargetLatencyMs": 1000, "Priority": 1, "Service": SERVICE, "MaxAttempts": 4, "SlackFactor": 3.0,
                   "Public": False}]
        for number in range(extra_routes):
            routes.append({"Name": f"r-more{number:05d}", "Host": f"nony{number % 90}.example",
                           "PathPrefix": f"/pule{number:05d}/", "Kind": "unsafe",
                           "TimeoutMs": 3000 + (version * 7 + number) % 500, "TargetLatencyMs": 3000, "Priority": 2,
                           "Service": SERVICE, "MaxAttempts": 4, "SlackFactor": 3.0, "Public": False})
        return {"Version": version, "Routes": routes,
                "Services": [{"Name": SERVICE, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1",
                              "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0, "RejectsOverload": True,
                              "Standby": False}],
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                           "IdleTimeoutMs": 15000},
                "Tenants": [{"Name": "kaje80", "ApiKeys": [KEY], "Priority": 1, "Guaranteed": {"Gpu": 16}}]}

    def control(self, number):
        return self.entries[number].settings["Ip"], 8526

    async def put_config(self, value, seconds=15.0, quiet=False):
        """Sends a configuration to one entry after the other until it is acknowledged; returns the status or None."""
        raw, end, pause = json.dumps(value).encode(), time.monotonic() + seconds, 0.05
        turn = random.randrange(len(self.entries))
        while time.monotonic() < end:
            turn += 1
            answer = await request(self.control(turn % len(self.entries)), "POST", "/Config.Replace", raw=raw,
                                   timeout=1.5)
            status = answer[0] if answer else None
            if not quiet:
                self.record.write("operator", f"configuration {value['Version']} ({len(raw)} bytes) -> {status}")
            if status == 200 or (status and 400 <= status < 500 and status not in (408, 429)):
                return status
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None

    async def get_config(self, number):
        answer = await request(self.control(number), "GET", "/Config.Get", timeout=2.0)
        version = json.loads(answer[1]).get("Version") if answer and answer[0] == 200 else None
        self.record.write("operator", f"reads the configuration at frontend-{number + 1} -> "
                                      f"{answer[0] if answer else None}, version {version}")
        return version

    # -- consumer --

    async def call(self, method, job, value=None, quiet=False):
        entry = random.choice([each for each in self.entries if each.running()] or self.entries)
        answer = await request((entry.settings["Ip"], 8521), method, PREFIX + job, value, timeout=3.0,
                               headers={"Host": HOST, "Api-Key": KEY, "X-Deadline-Ms": "3000"})
        if not quiet:
            text = answer[1].decode("utf-8", "replace")[:120] if answer else ""
            self.record.write("consumer", f"{method} {job} at {entry.name} -> {answer[0] if answer else None} {text}")
        return answer

    async def submit(self, job, steps, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await self.call("POST", job, {"Spec": "spec of " + job, "Steps": steps})
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, quiet=True):
        answer = await self.call("GET", job, quiet=quiet)
        return json.loads(answer[1]).get("State") if answer and answer[0] == 200 else None

    async def wait_for_start(self, task, seconds, after=0.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for start in self.starts:
                if start[3] == task and start[0] > after:
                    return start
            await asyncio.sleep(0.02)
        return None


class Minion:
    """The minion of one side machine over all of its lifetimes, by the section "Running tasks" of PROTOCOL.md."""

    def __init__(self, deployment, number, zone, address, control):
        self.deployment, self.number, self.zone, self.address, self.control = deployment, number, zone, address, control
        self.name, self.id = f"minion-{number}", f"i-{number:04d}a1c2"
        self.life, self.up, self.server = 0, False, None
        self.draining, self.beating, self.report_delay = False, True, 0.0
        self.work_s = 5.0
        self.hold_back = None    # called with (path, call); seconds by which to execute it late, or None

    def say(self, what):
        self.deployment.record.write(f"{self.name} life {self.life}", what)

    async def begin(self, first_report_s=0.0):
        self.life += 1
        self.born, self.began = int(time.time() * 1000), time.monotonic()
        self.sequence, self.token, self.deadline, self.next_end = 0, 0, 0, 1
        self.running, self.finished, self.over = {}, [], {}
        self.draining, self.up, self.changed = False, True, asyncio.Event()
        self.server = Server(self.handle)
        await self.server.start(self.address)
        self.say(f"begins as {self.id}, born {self.born}")
        asyncio.create_task(self._beat(self.life, first_report_s))
        asyncio.create_task(self._work(self.life))

    def end(self, why):
        """Ends this lifetime: what runs is gone, and the port is closed."""
        if not self.up:
            return
        self.up = False
        self.server.stop()
        for task in list(self.running):
            self._forget(task, "gone")
        self.say("ends: " + why)

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def report(self):
        return {"Service": SERVICE, "Address": "%s:%d" % self.address, "Zone": self.zone, "Version": "v1", "Slots": 8,
                "State": "draining" if self.draining else "ready", "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}, "Labels": ["a", f"r1-{self.number}"],
                "Machine": f"m-{self.number:04d}", "ClockMs": self.clock_ms(), "Sequence": self.sequence,
                "born": self.born, **({"RemainingMs": 2000} if self.draining else {})}

    async def send_report(self, report, identity=None):
        return await request(self.control, "POST", f"/Instances.Heartbeat/{identity or self.id}", report, timeout=1.0)

    async def deregister(self):
        answer = await request(self.control, "POST", f"/Instances.Deregister/{self.id}", timeout=1.0)
        self.say(f"deregisters -> {answer[0] if answer else None}")

    async def _beat(self, life, first_report_s):
        await asyncio.sleep(first_report_s)
        while self.up and self.life == life:
            self.sequence += 1
            if self.beating:
                answer = await self.send_report(self.report())
                if self.sequence == 1:
                    self.say(f"first liveness report -> {answer[0] if answer else None}")
            await asyncio.sleep(1.5)

    async def _work(self, life):
        while self.up and self.life == life:
            if self.running and self.clock_ms() > self.deadline:
                for task in list(self.running):
                    self._finish(task, "lapsed")
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if task in self.running and now >= run["until"]:
                    self._finish(task, "done")
            await asyncio.sleep(0.01)

    def _forget(self, task, how):
        run = self.running.pop(task)
        self.deployment.runs.get(task, set()).discard((self.name, self.life, run["run"]))
        self.say(f"run {run['run']} of {task} is over: {how}")
        return run

    def _finish(self, task, how):
        run = self._forget(task, how)
        self.over[task] = max(self.over.get(task, 0), run["run"])
        self.finished.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.changed.set()

    async def handle(self, method, path, fields, body):
        life, call = self.life, json.loads(body or b"{}")
        expected = fields.get("x-expected-instance", self.id)
        late = self.hold_back(path, call) if self.hold_back else None
        if late is not None:
            self.say(f"leaves {path} {call.get('Task', '')} run {call.get('RunId', '')} unanswered, to carry it out "
                     f"{late:.1f} s later")
            asyncio.create_task(self._carry_out_late(late, path, expected, call))
            return None
        if expected != self.id:
            return 421, None
        answer = await self._execute(path, call)
        return answer if self.up and self.life == life else None

    async def _carry_out_late(self, seconds, path, expected, call):
        await asyncio.sleep(seconds)
        if self.up and expected == self.id:
            status, value = await self._execute(path, call)
            self.say(f"carries out the late {path} {call.get('Task', '')} run {call.get('RunId', '')}: {status} "
                     f"{value.get('Reason', '') if value else ''}")

    async def _execute(self, path, call):
        token = call.get("FencingToken", 0)
        if token < self.token:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
        self.token = token
        if path == "/hold":
            return await self._hold(call)
        if path == "/run-start":
            return self._start(call)
        if path == "/run-stop":
            task, run = call["Task"], call["RunId"]
            if task in self.running and self.running[task]["run"] <= run:
                self._finish(task, "stopped")
            self.over[task] = max(self.over.get(task, 0), run)
            return 200, {"ClockMs": self.clock_ms()}
        return 404, None

    def _lease(self, deadline):
        if deadline is not None:
            most = self.clock_ms() + self.deployment.bounds["MaxHoldMs"]
            self.deadline = max(self.deadline, min(deadline, most))

    async def _hold(self, call):
        self._lease(call.get("DeadlineMs"))
        cursor = call.get("AckCursor", 0)
        for end in self.finished:
            if end[0] <= cursor:
                self.say(f"end {end[0]} is taken note of: run {end[2]} of {end[1]} {end[3]}")
        self.finished = [end for end in self.finished if end[0] > cursor]
        if call.get("WaitMs") and not self.finished:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), min(call["WaitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        rows = [[task, run["run"], "", min(99, int(100 * (1 - (run["until"] - time.monotonic()) / run["work"]))), 0]
                for task, run in self.running.items()]
        return 200, {"ClockMs": self.clock_ms(), "Running": rows, "Finished": self.finished[:500], "born": self.born}

    def _start(self, call):
        task, run = call["Task"], call["RunId"]
        refused = lambda reason: (409, {"ClockMs": self.clock_ms(), "Reason": reason})
        if call["DeadlineMs"] <= self.clock_ms():
            return refused("late")
        self._lease(call["DeadlineMs"])
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"ClockMs": self.clock_ms()}
        if run <= self.over.get(task, 0) or task in self.running:
            return refused("old")
        if sum(each["gpu"] for each in self.running.values()) + 1 > 8:
            return refused("room")
        others = sorted(self.deployment.runs.get(task, ()))
        self.running[task] = {"run": run, "work": self.work_s, "until": time.monotonic() + self.work_s, "gpu": 1}
        self.deployment.runs.setdefault(task, set()).add((self.name, self.life, run))
        self.deployment.starts.append((self.deployment.record.now(), self.name, self.life, task, run, others))
        self.say(f"starts run {run} of {task}" + (f" while {others} is at work" if others else ""))
        if self.deployment.on_start:
            self.deployment.on_start(self, task, run)
        return 200, {"ClockMs": self.clock_ms()}


def main(scenario, folder):
    """Runs a scenario, which returns HELD, BROKEN or NOT_RUN, and exits with that."""

    async def whole():
        deployment = None
        try:
            deployment, body = scenario(folder, os.environ.get("TROUBLE", "1") != "0")
            return await asyncio.wait_for(body, 112)
        except asyncio.TimeoutError:
            if deployment:
                deployment.record.write("test", "out of time")
            return NOT_RUN
        finally:
            if deployment:
                await deployment.stop()

    if not os.path.exists(PROGRAM):
        print("target/anvilwheel is not built", file=sys.stderr)
        sys.exit(NOT_RUN)
    sys.exit(asyncio.run(whole()))
