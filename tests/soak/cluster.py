"""The processes of one small deployment on loopback addresses, each entry behind a proxy, and what is done to them."""

import asyncio
import json
import os
import resource
import shutil
import signal
import subprocess

from proxy import Proxy
from worker import Worker

ZONES = ["north", "south", "east"]
BOUNDS = {"hold": 2.0, "gang": 3.0, "beat": 0.4, "stop": 0.4}


class Process:
    """One program that the soak starts and ends, by its id."""

    def __init__(self, name, command, settings, work_dir):
        self.name, self.command, self.settings, self.work_dir = name, command, settings, work_dir
        self.path = os.path.join(work_dir, name + ".json")
        self.handle = None
        self.wanted = False
        self.paused = False
        self.killed = False   # by the soak
        self.down = asyncio.Lock()   # held while it is stopped on purpose

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.settings["Bootstrap"] = False
        self.wanted = True
        self.killed = False
        with open(os.path.join(self.work_dir, self.name + ".log"), "ab") as log:
            self.handle = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                           env={"ANVILWHEEL_BOOT": self.path, "PATH": os.environ["PATH"]})

    def running(self):
        return self.handle is not None and self.handle.poll() is None

    def send(self, number):
        if self.running():
            self.killed = self.killed or number == signal.SIGKILL
            self.handle.send_signal(number)

    async def kill(self):
        self.wanted = False
        self.send(signal.SIGKILL)
        while self.running():
            await asyncio.sleep(0.01)

    def limit_files(self, size):
        """Lets files grow to \p size bytes at most, as a full disk does; None lifts the limit."""
        if self.running():
            limit = resource.RLIM_INFINITY if size is None else size
            resource.prlimit(self.handle.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    async def pause(self, seconds):
        self.paused = True
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)
        self.paused = False


class Cluster:
    """Three entries with a data folder, one without, and workers with an agent each."""

    def __init__(self, program, work_dir, net, truth, seed, worker_count=6):
        # A copy, since a build may replace the program while the soak starts it again and again.
        self.program = shutil.copy2(program, work_dir)
        self.work_dir, self.net, self.truth = work_dir, net, truth
        self.entries, self.proxies, self.agents, self.workers = [], [], [], []
        seeds = [f"{self._ip(2, number)}:7100" for number in range(3)]
        for number in range(4):
            self._add_entry(number, seeds, seed)
        for number in range(worker_count):
            self._add_worker(number, seeds, seed)

    def _ip(self, group, number):
        return f"127.{self.net}.{group}.{number + 1}"

    def _settings(self, name, zone, ip, seeds):
        return {"NodeName": name, "Zone": zone, "Ip": ip, "InternalPortRange": [7000, 7015], "Seeds": seeds,
                "Bootstrap": True, "FaultTolerance": {"Machines": 1}, "Bounds": {"MaxHoldMs": int(BOUNDS["hold"] * 1000), "StopTimeoutMs": 400,
                                              "ConfigApplyMs": 2000, "RevokeMs": 5000, "CatchUpS": 4,
                                              "GracePeriodS": 6, "RemotePenalty": 3}}

    def _add_entry(self, number, seeds, _seed):
        name, real, outer = f"entry-{number}", self._ip(1, number), self._ip(2, number)
        settings = self._settings(name, ZONES[number % 3], outer, seeds)
        settings["BindAddresses"] = {"FrontendAddress": f"{real}:7080", "Ready": f"{real}:7081",
                                     "Control": f"{real}:7082"}
        if number < 3:
            settings["DataDir"] = os.path.join(self.work_dir, name)
            os.makedirs(settings["DataDir"], exist_ok=True)
        command = [self.program, "entry", "--listen", f"{real}:7000", "--metrics", f"{real}:7090"]
        self.entries.append(Process(name, command, settings, self.work_dir))
        self.proxies.append(Proxy((outer, 7000), (real, 7000)))

    def _add_worker(self, number, seeds, seed):
        name, ip = f"agent-{number}", self._ip(3, number)
        zone, app = ZONES[number % 3], (self._ip(4, number), 7200)
        settings = self._settings(name, zone, ip, seeds)
        settings["BindAddresses"] = {"Control": f"{ip}:7082"}
        settings["app"] = "%s:%d" % app
        self.agents.append(Process(name, [self.program, "agent"], settings, self.work_dir))
        self.workers.append(Worker(f"worker-{number}", zone, f"r{number // 3}", app, (ip, 7082), self.truth, BOUNDS,
                                   seed * 100 + number))

    async def start(self):
        for proxy in self.proxies:
            await proxy.start()
        for worker in self.workers:
            await worker.start()
        for process in self.entries + self.agents:
            process.start()

    def consumer_address(self, number):
        return self._ip(1, number), 7080

    def operator_address(self, number):
        return self._ip(1, number), 7082

    async def wipe(self, number, down):
        """The machine loses its disk and comes back empty."""
        process = self.entries[number]
        async with process.down:
            await process.kill()
            shutil.rmtree(process.settings["DataDir"])
            os.makedirs(process.settings["DataDir"])
            await asyncio.sleep(down)
            process.start()

    async def tear(self, number, tail, down):
        """The machine loses power while it appends: bytes that were never synced follow what was."""
        process = self.entries[number]
        async with process.down:
            await process.kill()
            folder = process.settings["DataDir"]
            segments = sorted(name for name in os.listdir(folder) if name.startswith("log-"))
            if segments:
                with open(os.path.join(folder, segments[-1]), "ab") as file:
                    file.write(tail)
            await asyncio.sleep(down)
            process.start()

    async def supervise(self):
        """Starts processes again that ended by themselves or were asked to end, as the platform does."""
        while True:
            for process in self.entries + self.agents:
                if process.wanted and not process.running():
                    if process.handle.returncode != 0 and not process.killed:
                        self.truth.fail(f"{process.name} ended by itself with {process.handle.returncode}")
                    process.start()
            await asyncio.sleep(0.3)

    async def stop(self):
        for worker in self.workers:
            worker.stop()
        for process in self.entries + self.agents:
            process.send(signal.SIGCONT)
            await process.kill()
