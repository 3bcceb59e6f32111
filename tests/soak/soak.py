"""Runs the real programs as processes on loopback, injects faults from a seed, and checks what callers and workers see.

Usage: python3 -B tests/soak/soak.py PROGRAM WORK_DIR [--seed N] [--seeds N] [--seed-file F] [--jobs N] [--seconds S]

Each seed plays a span of faults (connections delayed, reset, silenced or cut one way by a proxy; processes killed,
paused, terminated and wiped; disks that are full or end in a torn write; workers that crash or carry orders out late)
and a calm span, after which every accepted job must have ended. The last line is "N passed, N failed"; the folder of a failed seed is kept.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time

import http11
from cluster import Cluster
from worker import Truth

KEY = "soak-key"
HOST = "soak.example"
CALM_SECONDS = 40       # all work must end within this: lost leases, elections and a full queue included
START_SECONDS = 20      # until the deployment accepts its first configuration


class Job:
    """A job as its consumer knows it."""

    def __init__(self, job_id, steps):
        self.id, self.steps, self.spec = job_id, steps, "payload of " + job_id
        self.accepted = False
        self.rejected = False    # refused, and never sent without an answer
        self.cancelled = False
        self.checkpoints = {}
        self.done = set()

    def step_done(self, number):
        return all(f"{self.id}.0.{number}.{index}" in self.done for index in range(self.steps[number].get("Count", 1)))


def draw_steps(draw):
    """Returns the steps of a job: tasks by themselves, a gang, or two steps that depend on each other."""
    def step(**more):
        return {"Cpu": 1000, "MemMb": 100, "Gpu": draw.choice([1, 2, 4]), "EstimatedMs": draw.randint(100, 900), **more}
    kind = draw.random()
    if kind < 0.4:
        return [step(Count=draw.randint(1, 5))]
    if kind < 0.7:
        return [step(Count=draw.randint(2, 4), Gang=True)]
    return [step(Count=2), step(Count=1, DependsOn=[0])]


class Soak:
    """One seed."""

    def __init__(self, program, work_dir, seed, seconds):
        self.draw = random.Random(seed)
        self.truth = Truth()
        self.seconds = seconds
        self.cluster = Cluster(program, work_dir, 10 + seed % 200, self.truth, seed)
        self.version = 0
        self.acknowledged = 0   # newest configuration that was acknowledged
        self.faults = []
        self.connections = http11.Pool()   # consumers use them until the process is gone
        self.began = time.monotonic()

    def note(self, text):
        self.faults.append(f"{time.monotonic():.2f} {text}")

    # ---- operator ----

    def config(self, version):
        return {"Version": version, "Routes": [
            {"Name": "q", "Host": HOST, "PathPrefix": "/q/", "Kind": "unsafe", "TimeoutMs": 3000 + version,
             "TargetLatencyMs": 1000, "Priority": 0, "Service": "desk", "MaxAttempts": 4, "SlackFactor": 2.0,
             "Public": False}],
            "Services": [{"Name": "desk", "HealthPath": "/healthz", "RejectsOverload": True}],
            "Tenants": [{"Name": "t", "ApiKeys": [KEY], "Priority": 0, "Guaranteed": {"Gpu": 8}}]}

    async def put_config(self, seconds):
        """Sends the next configuration to one entry after the other until it is acknowledged."""
        self.version += self.draw.randint(1, 5)
        version, end = self.version, time.monotonic() + seconds
        while time.monotonic() < end:
            entry = self.draw.randrange(len(self.cluster.entries))
            answer = await http11.request(self.cluster.operator_address(entry), "POST", "/Config.Replace",
                                          self.config(version), timeout=1)
            if answer and answer[0] == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
            if answer and 400 <= answer[0] < 500 and answer[0] not in (408, 429):
                self.truth.fail(f"configuration {version} was refused with {answer[0]}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def read_config(self):
        known = self.acknowledged
        entry = self.draw.randrange(len(self.cluster.entries))
        answer = await http11.request(self.cluster.operator_address(entry), "GET", "/Config.Get", timeout=1)
        if answer and answer[0] == 200 and json.loads(answer[2])["Version"] < known:
            self.truth.fail(f"entry {entry} showed configuration {json.loads(answer[2])['Version']} after {known}")
        return answer

    async def operate(self, until):
        while time.monotonic() < until:
            await self.put_config(3)
            await self.read_config()
            await asyncio.sleep(self.draw.uniform(0.2, 1.5))

    # ---- consumers ----

    async def _send(self, entry, method, job, raw):
        return await http11.request(self.cluster.consumer_address(entry), method, "/q/" + job.id, raw=raw,
                                    headers={"Host": HOST, "Api-Key": KEY, "X-Deadline-Ms": "1500"}, timeout=1.5,
                                    pool=self.connections)

    async def ask(self, method, job, seconds, good=(200,)):
        """Repeats a call at other entries until it is answered; returns the status, or None."""
        end, unclear = time.monotonic() + seconds, False
        raw = json.dumps({"Spec": job.spec, "Steps": job.steps}).encode() if method == "POST" else b""
        while time.monotonic() < end:
            entry = self.draw.randrange(len(self.cluster.entries))
            answer = await self._send(entry, method, job, raw)
            if answer and answer[0] in good:
                return answer[0], answer[2]
            if answer and answer[0] not in (429, 500, 502, 503, 504):
                return answer[0], answer[2]
            unclear = unclear or answer is None or answer[0] in (500, 502, 504)
            await asyncio.sleep(0.2)
        return (None if unclear else 503), b""

    async def consume(self, until):
        tasks = []
        while time.monotonic() < until:
            job = Job(f"{self.draw.getrandbits(64):016x}", draw_steps(self.draw))
            self.truth.jobs[job.id] = job
            tasks.append(asyncio.create_task(self._submit(job)))
            await asyncio.sleep(self.draw.expovariate(3))
        await asyncio.gather(*tasks)

    async def _submit(self, job):
        status, _ = await self.ask("POST", job, 6)
        job.accepted = status == 200
        job.rejected = status is not None and status != 200
        if job.accepted and self.draw.random() < 0.15:
            await asyncio.sleep(self.draw.uniform(0, 1))
            status, _ = await self.ask("DELETE", job, 6, (200, 410))
            job.cancelled = True
        elif job.accepted and self.draw.random() < 0.2:
            await asyncio.sleep(self.draw.uniform(0.5, 3))
            await self.ask("POST", job, 3)   # comes again after its answer; it stays one job

    # ---- faults ----

    async def break_things(self, until):
        """Faults in series; they may overlap, but at most one disk is away at a time."""
        tasks, disk = [], asyncio.Lock()
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self._one_fault(disk)))
            await asyncio.sleep(self.draw.uniform(0.3, 1.5))
        await asyncio.gather(*tasks)

    async def _one_fault(self, disk):
        draw, cluster = self.draw, self.cluster
        number = draw.randrange(len(cluster.entries))
        proxy, entry = cluster.proxies[number], cluster.entries[number]
        agent, worker = draw.choice(cluster.agents), draw.choice(cluster.workers)
        span = draw.uniform(0.2, 3)
        kind = draw.choice(["delay", "reset", "silence", "cut-in", "cut-out", "kill", "pause", "term", "herd", "wipe",
                            "disk-full", "torn-write", "agent-kill", "agent-pause", "worker-crash", "late-orders"])
        self.note(f"{kind} entry {number} {agent.name} {worker.name} {span:.1f} s")
        if kind == "delay":
            proxy.delay = draw.uniform(0.01, 0.3)
        elif kind == "reset":
            proxy.reset_all()
        elif kind == "silence":
            proxy.silence_open()
        elif kind in ("cut-in", "cut-out"):
            setattr(proxy, kind.replace("-", "_"), True)
        elif kind == "kill":
            entry.send(signal.SIGKILL)
        elif kind == "pause" and not entry.paused:
            await entry.pause(span)
        elif kind == "term":
            entry.send(signal.SIGTERM)
        elif kind == "herd":
            for each in cluster.entries:
                each.send(signal.SIGKILL)
        elif kind == "wipe" and not disk.locked():
            async with disk:
                await cluster.wipe(draw.randrange(3), span)
                await asyncio.sleep(8)   # the group takes in the new replica before another disk may go
        elif kind == "disk-full":
            entry.limit_files(draw.randrange(0, 4096))
        elif kind == "torn-write":
            await cluster.tear(draw.randrange(3), draw.randbytes(draw.randint(1, 300)), span)
        elif kind == "agent-kill":
            agent.send(signal.SIGKILL)
        elif kind == "agent-pause" and not agent.paused:
            await agent.pause(span * 2)
        elif kind == "worker-crash" and worker.up:
            await worker.crash(span, draw.random() < 0.5)
        elif kind == "late-orders":
            worker.late_share = 0.3
        await asyncio.sleep(span)
        entry.limit_files(None)
        proxy.heal()
        worker.late_share = 0.0

    # ---- the run ----

    async def check_end(self):
        """After the faults every accepted job ends, and the newest acknowledged configuration is read back."""
        end = time.monotonic() + CALM_SECONDS
        waiting = [job for job in self.truth.jobs.values() if job.accepted]
        while waiting and time.monotonic() < end:
            left = []
            for job in waiting:
                status, body = await self.ask("GET", job, 5, (200, 410))
                state = json.loads(body)["State"] if status == 200 else status
                if state == "completed" and not all(map(job.step_done, range(len(job.steps)))):
                    self.truth.fail(f"job {job.id} is shown as completed before all of its tasks are done")
                if status == 410 or (state == "failed") or (state == "cancelled" and not job.cancelled):
                    self.truth.fail(f"job {job.id} was accepted and is {state}")
                elif state not in ("completed", "cancelled"):
                    left.append(job)
            waiting = left
            await asyncio.sleep(0.5)
        for job in waiting:
            self.truth.fail(f"job {job.id} has not ended {CALM_SECONDS} s after the faults")
        for _ in range(20):
            answer = await self.read_config()
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.3)
        self.truth.fail("the configuration can't be read back")

    def _on_supervisor_end(self, task):
        if not task.cancelled():
            self.truth.fail(f"the soak can't start processes any more: {task.exception()!r}")

    async def run(self):
        # Processes that were started must not outlive the soak.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        supervisor = asyncio.create_task(self.cluster.supervise())
        supervisor.add_done_callback(self._on_supervisor_end)
        try:
            await self.cluster.start()
            if not await self.put_config(START_SECONDS):
                self.truth.fail("no configuration was accepted at the start")
                return
            until = time.monotonic() + self.seconds
            await asyncio.gather(self.operate(until), self.consume(until), self.break_things(until))
            await self.check_end()
        finally:
            supervisor.cancel()
            await self.cluster.stop()


def play(program, work_dir, seed, seconds):
    """Plays one seed; returns the broken promises."""
    shutil.rmtree(work_dir, ignore_errors=True)
    os.makedirs(work_dir)
    soak = Soak(program, work_dir, seed, seconds)
    asyncio.run(soak.run())
    accepted = sum(job.accepted for job in soak.truth.jobs.values())
    print(f"seed {seed}: {len(soak.truth.jobs)} jobs, {accepted} accepted, {len(soak.faults)} faults, "
          f"{len(soak.truth.broken)} broken promises", flush=True)
    for line in soak.truth.broken[:10]:
        print(f"seed {seed}: {line}", flush=True)
    if not soak.truth.broken:
        shutil.rmtree(work_dir)
    else:
        with open(os.path.join(work_dir, "soak.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(sorted(soak.truth.broken + soak.faults)) + "\n")
    return soak.truth.broken


def read_seeds(path):
    """Returns the first number of each line that is no comment."""
    if not path:
        return []
    with open(path, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and not line.startswith("#")]


def play_many(options):
    """Plays each seed in a process of its own; returns the numbers of all and of failed seeds."""
    seeds = list(range(options.seed, options.seed + options.seeds)) + read_seeds(options.seed_file)
    total, running, failed = len(seeds), {}, 0
    while seeds or running:
        while seeds and len(running) < options.jobs:
            seed = seeds.pop(0)
            running[seed] = subprocess.Popen([sys.executable, "-B", os.path.abspath(__file__), options.program,
                                              options.work_dir, "--seed", str(seed), "--seconds",
                                              str(options.seconds)])
        for seed in [each for each, process in running.items() if process.poll() is not None]:
            failed += running.pop(seed).returncode != 0
        time.sleep(0.2)
    return total, failed


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("program")
    parser.add_argument("work_dir")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seed-file", help="further seeds, the first number of each line")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=12, help="span of the faults")
    options = parser.parse_args()
    if options.seeds > 1:
        total, failed = play_many(options)
        print(f"{total - failed} passed, {failed} failed")
        return 1 if failed else 0
    broken = play(os.path.abspath(options.program), os.path.join(os.path.abspath(options.work_dir),
                                                                 f"seed-{options.seed}"), options.seed,
                  options.seconds)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
