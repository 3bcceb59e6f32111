"""A small deployment on loopback addresses: entries, agents, stand-ins for minions, and calls of callers.

The programs are started with the commands of deploy/system.toml, and the settings have the fields and bounds of
DEPLOY.md and of the site mshell-ops.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http11
from minion import Minion

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["kochi-hq", "alappuzha-yard", "kollam-depot"]
BOUNDS = {"SeedLagS": 3, "AddressReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
          "GracePeriodS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250,
          "MaxStretchMs": 5000, "StrictRevocation": True, "RevokeMs": 5000, "EvacuationMs": 5000, "RecoveryS": 12,
          "MaxHoldMs": 6000, "StopTimeoutMs": 400, "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
          "early_ms": 250, "finish_s": 14, "status_s": 120, "RemotePenalty": 3, "CheckpointIntervalS": 1,
          "RestoreMs": 600, "FencingEnabled": False, "LeaseMs": 3000, "ReclaimMs": 2900}
HEARTBEAT_MS = 1500
FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, APP_PORT = 8521, 8523, 8526, 9464, 8080
INTERNAL = [7000, 7015]
KEY, HOST, PREFIX = "kochi-key-1", "desk.example", "/batch/"


class CannotRun(Exception):
    """The case could not run; its exit code is 2."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")

    def close(self):
        self.file.close()


class Process:
    """One process of the deployment."""

    def __init__(self, role, settings, folder):
        self.role, self.settings = role, settings
        self.name = settings["NodeName"]
        self.path = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        self.popen = None

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.settings["Bootstrap"] = False
        command = ["target/anvilwheel", self.role, "--metrics", f"{self.settings['Ip']}:{METRICS_PORT}"]
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                          env={"ANVILWHEEL_BOOT": self.path, "PATH": os.environ["PATH"]})

    def end(self):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()


def free_network():
    """Returns the first three numbers of loopback addresses on which the ports of the deployment are free."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for number in (*range(1, 6), *range(21, 31), *range(41, 51)):
                for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, APP_PORT, INTERNAL[0]):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{network}.{number}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Deployment:
    """Three entries with a disk, two without, and machines with a minion and its agent."""

    def __init__(self, folder, machines):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.network = free_network()
        seeds = [f"{self.network}.{number + 1}:{CONTROL_PORT}" for number in range(3)]
        self.entries, self.agents, self.minions = [], [], []
        self.version = 0
        self.counts = {}      # answers that are not in the record, by status
        for number in range(5):
            self._add_entry(number, seeds)
        for number in range(machines):
            self._add_machine(number, seeds)

    def _settings(self, name, ip, zone, seeds):
        return {"NodeName": name, "Ip": ip, "Zone": zone, "Region": "kerala-south", "InternalPortRange": INTERNAL,
                "Seeds": seeds, "Bootstrap": True, "Discovery": "local", "Entry": "vip", "HeartbeatMs": HEARTBEAT_MS,
                "config_mode": "highest", "Orders": "push", "Zones": {each: "kerala-south" for each in ZONES},
                "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0}, "Bounds": dict(BOUNDS)}

    def _add_entry(self, number, seeds):
        ip = f"{self.network}.{number + 1}"
        name = f"frontend-{number + 1}"
        settings = self._settings(name, ip, ZONES[number % 3], seeds)
        settings.update(Role="entry", MachineClass="frontend", Serves=["frontend", "control_plane"],
                        BindAddresses={"FrontendAddress": f"{ip}:{FRONT_PORT}", "Ready": f"{ip}:{READY_PORT}",
                                       "Control": f"{ip}:{CONTROL_PORT}"})
        if number < 3:
            settings["CountsAsLoss"] = True
            settings["DataDir"] = os.path.join(self.temporary.name, "data-" + name)
            os.makedirs(settings["DataDir"])
        self.entries.append(Process("entry", settings, self.temporary.name))

    def _add_machine(self, number, seeds):
        ip = f"{self.network}.{number + 21}"
        app = (f"{self.network}.{number + 41}", APP_PORT)
        zone = ZONES[number % 3]
        settings = self._settings(f"side-{number + 1}", ip, zone, seeds)
        settings.update(Role="agent", MachineClass="side", Serves=["side"], app="%s:%d" % app,
                        BindAddresses={"Control": f"{ip}:{CONTROL_PORT}"})
        self.agents.append(Process("agent", settings, self.temporary.name))
        self.minions.append(Minion(f"minion-{number + 1}", zone, f"r{number // 3 + 1}", app, (ip, CONTROL_PORT),
                                   {**BOUNDS, "HeartbeatMs": HEARTBEAT_MS}, self.record))

    # ---- life of the deployment ----

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, "target/anvilwheel")):
            raise CannotRun("target/anvilwheel is missing; run the build of the deploy file first")
        for process in self.entries + self.agents:
            process.start()
        for minion in self.minions:
            await minion.begin()

    async def start_and_configure(self, routes):
        """Starts all, sends the first configuration, and waits until each entry is ready and each minion is used."""
        await self.start()
        if not await self.put_config(routes, 20):
            raise CannotRun("the first configuration was not acknowledged")
        end = time.monotonic() + 20
        while time.monotonic() < end:
            answers = await asyncio.gather(*(http11.request((each.settings["Ip"], READY_PORT), "GET", "/readyz",
                                                            timeout=1) for each in self.entries))
            if all(answer and answer[0] == 200 for answer in answers) and await self.minions_served() == len(self.minions):
                self.record("all entries are ready and all minions are served")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment did not become ready")

    async def minions_served(self):
        served = 0
        for agent in self.agents:
            answer = await http11.request((agent.settings["Ip"], METRICS_PORT), "GET", "/metrics", timeout=1)
            served += bool(answer and b"\nanvil_serving 1" in b"\n" + answer[1])
        return served

    async def leader(self):
        """Returns the entry that leads, or None."""
        for entry in self.entries[:3]:
            answer = await http11.request((entry.settings["Ip"], METRICS_PORT), "GET", "/metrics", timeout=1)
            if answer and b"\nanvil_leads 1" in answer[1]:
                return entry
        return None

    def end(self):
        for minion in self.minions:
            minion.up = False
            if minion.server:
                minion.server.abort()
        for process in self.entries + self.agents:
            process.end()
        self.record.close()
        self.temporary.cleanup()

    # ---- the operator ----

    def front(self, number):
        return self.entries[number].settings["Ip"], FRONT_PORT

    def control(self, number):
        return self.entries[number].settings["Ip"], CONTROL_PORT

    def config(self, version, routes):
        return {"Version": version,
                "Routes": [{"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000,
                            "TargetLatencyMs": 1000, "Priority": 1, "Service": "desk", "MaxAttempts": 2,
                            "SlackFactor": 3.0, "Public": False} for name, prefix in routes],
                "Services": [{"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1",
                              "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0, "RejectsOverload": True,
                              "Standby": False}],
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                           "IdleTimeoutMs": 15000},
                "Tenants": [{"Name": "kaje80", "ApiKeys": [KEY], "Priority": 1, "Guaranteed": {"Gpu": 8}}]}

    async def put_config(self, routes, seconds):
        """Sends the next version to one entry after the other until one acknowledges it."""
        self.version += 1
        value, end, number = self.config(self.version, routes), time.monotonic() + seconds, 0
        while time.monotonic() < end:
            self.record(f"operator sends version {self.version} to {self.entries[number % 5].name}")
            answer = await http11.request(self.control(number % 5), "POST", "/Config.Replace", value, timeout=1)
            self.record(f"operator gets {answer[0] if answer else 'no answer'} for version {self.version}")
            if answer and answer[0] == 200:
                return True
            number += 1
            await asyncio.sleep(0.2)
        return False

    # ---- consumers ----

    async def call(self, method, number, job, value=None, prefix=PREFIX, timeout=3.0, counted=()):
        """Sends a consumer's request to an entry; returns (status, body) or None after the timeout.

        Answers with a status in counted are only counted, so that the record stays readable.
        """
        headers = {"Host": HOST, "Api-Key": KEY, "X-Deadline-Ms": "3000"}
        sent = time.monotonic()
        if not counted:
            self.record(f"consumer sends {method} {prefix}{job} to {self.entries[number].name}")
        answer = await http11.request(self.front(number), method, prefix + job, value, headers, timeout)
        if answer and answer[0] in counted:
            self.counts[answer[0]] = self.counts.get(answer[0], 0) + 1
            return answer
        if counted:
            self.record(f"consumer has sent {method} {prefix}{job} to {self.entries[number].name} "
                        f"{time.monotonic() - sent:.3f} s ago")
        text = f"{answer[0]} {answer[1].decode() if answer[0] == 200 else ''}" if answer else "no answer"
        self.record(f"consumer gets {text} for {method} {prefix}{job} from {self.entries[number].name}")
        return answer


def new_id():
    return f"{random.getrandbits(64):016x}"


def one_task(work_ms, cpu=1000, count=1, **more):
    """Returns a step; the stand-in reads its work from the Spec, so all steps of a job take as long."""
    return {"Count": count, "Cpu": cpu, "MemMb": 64, "EstimatedMs": work_ms, **more}


def job_of(work_ms, steps, cpu=1000):
    return {"Spec": json.dumps({"work_ms": work_ms, "cpu": cpu}), "Steps": steps}


def main(folder, play, machines=3):
    """Runs play(deployment, trouble), which returns the list of broken rules; exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(folder, machines)
        # A script that is ended early ends its processes as well.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            deployment.record(f"trouble: {'yes' if trouble else 'no'}")
            broken = await asyncio.wait_for(play(deployment, trouble), 110)
            for line in broken:
                deployment.record("BROKEN: " + line)
            deployment.record(f"{len(broken)} breaks")
            return broken
        finally:
            deployment.end()

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken[:10]:
        print(line)
    print(f"{len(broken)} breaks")
    sys.exit(1 if broken else 0)
