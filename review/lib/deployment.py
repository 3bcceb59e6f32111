"""A small deployment on loopback addresses: the programs with the commands of the deploy file, and stand-ins."""

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
import tomllib

import wire
from minion import Minion

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["kochi-hq", "alappuzha-yard", "kollam-depot"]
HOST, KEY, SERVICE = "desk.example", "d4a3hwrr6x73d3zji9n7", "sorting-desk"
BOUNDS = {"SeedLagS": 3, "AddressReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
          "GracePeriodS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "MaxStretchMs": 5000,
          "StrictRevocation": True, "RevokeMs": 5000, "ColdOverage": 1.5, "ColdTolerance": 5, "EvacuationMs": 5000,
          "RecoveryS": 12, "MaxHoldMs": 6000, "StopTimeoutMs": 400, "GangTimeoutMs": 3000, "cancel_ms": 3000,
          "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "RemotePenalty": 3,
          "CheckpointIntervalS": 1, "RestoreMs": 600, "NoticeMs": 4500, "MigrationS": 1.5, "MaintenanceS": 2,
          "FencingEnabled": False, "LeaseMs": 3000, "ThawSlackMs": 300, "PacingMs": 100, "InterferenceMs": 4000,
          "ReclaimMs": 2900}


class CannotRun(Exception):
    """The case could not be set up; says nothing on the rule."""


class Process:
    """A program of the project."""

    def __init__(self, role, settings, folder):
        self.settings, self.folder = settings, folder
        self.name = settings["NodeName"]
        command = load_roles()[role]["run"].replace("{{Ip}}", settings["Ip"]).split()
        self.command = [os.path.join(ROOT, command[0])] + command[1:]
        self.popen = None

    def start(self):
        path = os.path.join(self.folder, self.name + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        # True only when the whole system starts for the first time.
        self.settings["Bootstrap"] = False
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.popen = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                          env={"ANVILWHEEL_BOOT": path, "PATH": os.environ["PATH"],
                                               "HOME": self.folder, "LANG": "C.UTF-8"})

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def kill(self):
        if self.running():
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


def load_roles():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]


def pick_network():
    """Returns the first two numbers of loopback addresses that nothing listens on."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}"
        try:
            for group, port in ((1, 7000), (1, 8521), (2, 7000), (2, 8529)):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{group}.1", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Deployment:
    """Entries (the first `disks` of them with a disk), and minions with an agent each."""

    def __init__(self, record, entries=3, disks=3, minions=4, linked=False):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.prefix = pick_network()
        self.jobs, self.entries, self.agents, self.minions, self.links = {}, [], [], [], []
        self.version = 0
        seeds = [f"{self.prefix}.1.{number + 1}:8526" for number in range(min(3, entries))]
        for number in range(entries):
            settings = self._settings("entry", "frontend", 1, number, seeds, number < disks)
            self.entries.append(Process("entry", settings, self.folder))
        for number in range(minions):
            settings = self._settings("agent", "side", 2, number, seeds, False)
            app = (settings["Ip"], 8529)
            settings["app"], settings["Service"] = "%s:%d" % app, SERVICE
            self.agents.append(Process("agent", settings, self.folder))
            control = report_to = (settings["Ip"], 8526)
            if linked:
                report_to = (f"{self.prefix}.3.{number + 1}", 8526)
                self.links.append(wire.Link(report_to, control))
            self.minions.append(Minion(f"m{number}", settings["Zone"], f"r{number % 3}-1", SERVICE, app, report_to,
                                       record, self.task, BOUNDS["MaxHoldMs"]))

    def _settings(self, role, machine_class, group, number, seeds, disk):
        ip, zone = f"{self.prefix}.{group}.{number + 1}", ZONES[number % 3]
        listen = {"Control": f"{ip}:8526"}
        if role == "entry":
            listen = {"FrontendAddress": f"{ip}:8521", "Ready": f"{ip}:8523", **listen}
        settings = {"NodeName": f"{machine_class}-{zone}-{number // 3 + 1}", "Role": role,
                    "MachineClass": machine_class,
                    "Serves": ["frontend", "control_plane"] if role == "entry" else ["side"], "Ip": ip, "Zone": zone,
                    "Region": "kerala-south", "Zones": {each: "kerala-south" for each in ZONES},
                    "BindAddresses": listen, "InternalPortRange": [7000, 7015], "Seeds": seeds, "Bootstrap": True,
                    "CountsAsLoss": disk, "Discovery": "local", "Entry": "vip", "HeartbeatMs": 1500,
                    "Contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "places", "advice",
                                  "upkeep", "sharing"],
                    "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0}, "Bounds": BOUNDS,
                    "config_mode": "highest", "Orders": "push"}
        if disk:
            settings["DataDir"] = os.path.join(self.folder, settings["NodeName"] + ".data")
            os.makedirs(settings["DataDir"])
        return settings

    # ---- the platform ----

    async def start(self):
        if not os.access(self.entries[0].command[0], os.X_OK):
            raise CannotRun("target/anvilwheel is not built")
        for process in self.entries + self.agents:
            process.start()
        for link in self.links:
            await link.start()
        for each in self.minions:
            await each.start()

    async def wait_ready(self, seconds=20):
        """Until every entry answers 200 to the readiness probe."""
        async def ready(entry):
            answer = await wire.request((entry.settings["Ip"], 8523), "GET", "/readyz", timeout=1)
            return bool(answer and answer[0] == 200)
        for _ in range(int(seconds * 5)):
            if all(await asyncio.gather(*[ready(entry) for entry in self.entries])):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the entries did not become ready")

    def stop(self):
        for each in self.minions:
            each.stop()
        for link in self.links:
            if link.server:
                link.server.close()
        for process in self.entries + self.agents:
            process.kill()
        if os.environ.get("KEEP"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # ---- the operator ----

    def config(self, version, **changes):
        document = {"Version": version, "Routes": [
            {"Name": "r-quote", "Host": HOST, "PathPrefix": "/quote/", "Kind": "unsafe", "TimeoutMs": 3000,
             "TargetLatencyMs": 1000, "Priority": 1, "Service": SERVICE, "MaxAttempts": 4, "SlackFactor": 3.0,
             "Public": False}],
            "Services": [{"Name": SERVICE, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1",
                          "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0, "RejectsOverload": True,
                          "Standby": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "kaje80", "ApiKeys": [KEY], "Priority": 1, "Guaranteed": {"Gpu": 8}}]}
        document.update(changes)
        return document

    async def put_config(self, document, seconds=20):
        """Sends it to one entry after the other until it is acknowledged."""
        end, number = asyncio.get_running_loop().time() + seconds, 0
        while asyncio.get_running_loop().time() < end:
            entry = self.entries[number % len(self.entries)]
            number += 1
            answer = await wire.request((entry.settings["Ip"], 8526), "POST", "/Config.Replace", document, timeout=1)
            self.record(f"operator config {document['Version']} to {entry.name} -> "
                        f"{answer[0] if answer else 'no answer'}")
            if answer and answer[0] == 200:
                return True
            if answer and answer[0] in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(0.2)
        return False

    # ---- consumers ----

    def task(self, name):
        job_id, _, step, index = name.split(".")
        job = self.jobs.get(job_id)
        if not job or int(step) >= len(job) or int(index) >= job[int(step)].get("Count", 0):
            return None
        return {"ms": job[int(step)]["EstimatedMs"], "gpu": job[int(step)].get("Gpu", 0),
                "lasts": job[int(step)].get("LongRunning", False)}

    async def call(self, method, path, body=None, entry=0, key=KEY, timeout=3.0, quiet=False):
        """One attempt at one entry; returns (status, JSON or None) or None."""
        process = self.entries[entry % len(self.entries)]
        answer = await wire.request((process.settings["Ip"], 8521), method, path, body,
                                    {"Host": HOST, "Api-Key": key, "X-Deadline-Ms": "3000"}, timeout)
        if not quiet:
            self.record(f"consumer {method} {path} at {process.name} -> "
                        f"{answer[0] if answer else 'no answer'} {answer[1].decode()[:120] if answer else ''}")
        if not answer:
            return None
        try:
            return answer[0], json.loads(answer[1])
        except ValueError:
            return answer[0], None

    async def submit(self, job_id, steps, prefix="/quote/", tries=5, key=KEY):
        """Hands a job in, at other entries too after no answer, a 502, 503 or 504; returns the last status."""
        self.jobs[job_id] = steps
        status = None
        for number in range(tries):
            answer = await self.call("POST", prefix + job_id, {"Spec": "work of " + job_id, "Steps": steps}, number,
                                     key)
            status = answer[0] if answer else None
            if status is not None and status not in (429, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        return status

    async def state(self, job_id, prefix="/quote/", quiet=False):
        """Asks the entries until one answers 200, 410 or 4xx; returns the state or the status."""
        answer = None
        for number in range(2 * len(self.entries)):
            answer = await self.call("GET", prefix + job_id, None, number, quiet=quiet)
            if answer and answer[0] == 200:
                return answer[1]["State"]
            if answer and answer[0] not in (429, 502, 503, 504):
                return answer[0]
            await asyncio.sleep(0.2)
        return answer[0] if answer else None

    def running(self, job_id):
        return [(each.name, task) for each in self.minions for task in each.runs if task.startswith(job_id + ".")]


def main(case, script, **options):
    """Runs case(deployment, record, trouble), which returns the list of what broke the rule; exits with 0, 1 or 2."""
    record = wire.Record(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble {'on' if trouble else 'off'}")

    async def run():
        # A SIGTERM ends the case, so that the started processes do not outlive it.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        deployment = Deployment(record, **options)
        try:
            await deployment.start()
            return await asyncio.wait_for(case(deployment, record, trouble), 110)
        finally:
            deployment.stop()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        # Only a broken rule may end with 1.
        record(f"can't run: {error!r}")
        print(f"can't run: {error!r}")
        sys.exit(2)
    for line in broken:
        record("BROKEN " + line)
        print("broken:", line)
    if not broken:
        record("held")
        print("held")
    sys.exit(1 if broken else 0)
