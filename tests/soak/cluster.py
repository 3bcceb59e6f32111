"""A small deployment on loopback addresses, with a proxy in front of each entry, and the faults of its processes."""

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
    """A program that the soak starts, restarts and signals."""

    def __init__(self, name, command, settings, work_dir):
        self.name, self.command, self.settings, self.work_dir = name, command, settings, work_dir
        self.path = os.path.join(work_dir, name + ".json")
        self.popen = None
        self.wanted = False
        self.paused = False
        self.killed = False   # the soak sent SIGKILL
        self.stop_lock = asyncio.Lock()   # held while the soak keeps the process stopped

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.settings["Bootstrap"] = False
        self.wanted = True
        self.killed = False
        with open(os.path.join(self.work_dir, self.name + ".log"), "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                           env={"ANVILWHEEL_BOOT": self.path, "PATH": os.environ["PATH"]})

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def send(self, signal_number):
        if self.running():
            self.killed = self.killed or signal_number == signal.SIGKILL
            self.popen.send_signal(signal_number)

    async def kill(self):
        self.wanted = False
        self.send(signal.SIGKILL)
        while self.running():
            await asyncio.sleep(0.01)

    def limit_files(self, size):
        """Limits files to size bytes, which makes writes fail as on a full disk; None removes the limit."""
        if self.running():
            limit = resource.RLIM_INFINITY if size is None else size
            resource.prlimit(self.popen.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    async def pause(self, seconds):
        self.paused = True
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)
        self.paused = False


class Cluster:
    """Three entries with a data directory, one without, and workers with an agent each."""

    def __init__(self, program, work_dir, network, checker, seed, worker_count=6):
        # Runs a copy, since a build may replace the program while the soak restarts it.
        self.program = shutil.copy2(program, work_dir)
        self.work_dir, self.network, self.checker = work_dir, network, checker
        self.entries, self.proxies, self.agents, self.workers = [], [], [], []
        seeds = [f"{self._ip(2, number)}:7100" for number in range(3)]
        for number in range(4):
            self._add_entry(number, seeds, seed)
        for number in range(worker_count):
            self._add_worker(number, seeds, seed)

    def _ip(self, group, number):
        return f"127.{self.network}.{group}.{number + 1}"

    def _settings(self, name, zone, ip, seeds):
        return {"NodeName": name, "Zone": zone, "Ip": ip, "InternalPortRange": [7000, 7015], "Seeds": seeds,
                "Bootstrap": True, "FaultTolerance": {"Machines": 1},
                "Bounds": {"MaxHoldMs": int(BOUNDS["hold"] * 1000), "StopTimeoutMs": 400, "ConfigApplyMs": 2000,
                           "RevokeMs": 5000, "CatchUpS": 4, "GracePeriodS": 6, "RemotePenalty": 3}}

    def _add_entry(self, number, seeds, _seed):
        name, bind_ip, proxy_ip = f"entry-{number}", self._ip(1, number), self._ip(2, number)
        settings = self._settings(name, ZONES[number % 3], proxy_ip, seeds)
        settings["BindAddresses"] = {"FrontendAddress": f"{bind_ip}:7080", "Ready": f"{bind_ip}:7081",
                                     "Control": f"{bind_ip}:7082"}
        if number < 3:
            settings["DataDir"] = os.path.join(self.work_dir, name)
            os.makedirs(settings["DataDir"], exist_ok=True)
        command = [self.program, "entry", "--listen", f"{bind_ip}:7000", "--metrics", f"{bind_ip}:7090"]
        self.entries.append(Process(name, command, settings, self.work_dir))
        self.proxies.append(Proxy((proxy_ip, 7000), (bind_ip, 7000)))

    def _add_worker(self, number, seeds, seed):
        name, ip = f"agent-{number}", self._ip(3, number)
        zone, app = ZONES[number % 3], (self._ip(4, number), 7200)
        settings = self._settings(name, zone, ip, seeds)
        settings["BindAddresses"] = {"Control": f"{ip}:7082"}
        settings["app"] = "%s:%d" % app
        self.agents.append(Process(name, [self.program, "agent"], settings, self.work_dir))
        self.workers.append(Worker(f"worker-{number}", zone, f"r{number // 3}", app, (ip, 7082), self.checker, BOUNDS,
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

    async def wipe_disk(self, number, down_seconds):
        """Restarts an entry with an empty data directory, as after the loss of its disk."""
        process = self.entries[number]
        async with process.stop_lock:
            await process.kill()
            shutil.rmtree(process.settings["DataDir"])
            os.makedirs(process.settings["DataDir"])
            await asyncio.sleep(down_seconds)
            process.start()

    async def append_torn_write(self, number, tail, down_seconds):
        """Restarts an entry with unsynced bytes at the end of its log, as after a power failure during an append."""
        process = self.entries[number]
        async with process.stop_lock:
            await process.kill()
            folder = process.settings["DataDir"]
            segments = sorted(name for name in os.listdir(folder) if name.startswith("log-"))
            if segments:
                with open(os.path.join(folder, segments[-1]), "ab") as file:
                    file.write(tail)
            await asyncio.sleep(down_seconds)
            process.start()

    async def restart_processes(self):
        """Restarts processes that exited by themselves or on a signal, as a service manager does."""
        while True:
            for process in self.entries + self.agents:
                if process.wanted and not process.running():
                    if process.popen.returncode != 0 and not process.killed:
                        self.checker.fail(f"{process.name} exited on its own with {process.popen.returncode}")
                    process.start()
            await asyncio.sleep(0.3)

    async def stop(self):
        for worker in self.workers:
            worker.stop()
        for process in self.entries + self.agents:
            process.send(signal.SIGCONT)
            await process.kill()
