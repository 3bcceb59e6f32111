"""Runs the programs on loopback, injects seeded faults, and checks what consumers and workers observe.

Usage: python3 -B tests/soak/soak.py PROGRAM WORK_DIR [--seed N] [--seeds N] [--seed-file F] [--jobs N] [--seconds S]

Each seed has a phase with faults and a phase without, after which every accepted job must have ended. Faults are
connections that a proxy delays, resets, or drops data from in one direction; processes that are killed, paused or
terminated, or lose their data; disks that are full or end in a torn write; workers that crash, are back at once under
their ids, are cut off or execute calls late; and reports of other writers that can't be read. The last line is
"N passed, N failed". The directory of a failed seed is kept.
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
from worker import InvariantChecker

KEY = "soak-key"
HOST = "soak.example"
CALM_SECONDS = 40       # time limit for all work to end after lost leases, elections and a full queue
START_SECONDS = 20      # time limit for the first configuration


class Job:
    """A job as its consumer sees it."""

    def __init__(self, job_id, steps):
        self.id, self.steps, self.spec = job_id, steps, "payload of " + job_id
        self.accepted = False
        self.rejected = False    # refused, and every attempt was answered
        self.cancelled = False
        self.checkpoints = {}
        self.done = set()

    def step_done(self, number):
        return all(f"{self.id}.0.{number}.{index}" in self.done for index in range(self.steps[number].get("Count", 1)))


def generate_steps(rng):
    """Returns the steps of a job: independent tasks, a gang, or two steps of which the second depends on the first."""
    def step(**more):
        return {"Cpu": 1000, "MemMb": 100, "Gpu": rng.choice([1, 2, 4]), "EstimatedMs": rng.randint(100, 900), **more}
    kind = rng.random()
    if kind < 0.4:
        return [step(Count=rng.randint(1, 5))]
    if kind < 0.7:
        return [step(Count=rng.randint(2, 4), Gang=True)]
    return [step(Count=2), step(Count=1, DependsOn=[0])]


def odd_reports(report):
    """Returns bodies that resemble the report of a worker and must not be believed."""
    nested = {"New": 1}
    for _ in range(40):
        nested = {"New": nested}
    values = [{**report, "Capacity": {"Cpu": 1 << 70, "MemMb": 1, "Gpu": 1}},
              {**report, "Capacity": {"Cpu": -1, "MemMb": 1, "Gpu": 1}},
              {**report, "State": "draining", "RemainingMs": 9 * 10 ** 18},
              {**report, "Address": report["Address"].split(":")[0] + ":70000"},
              {**report, "born": 10 ** 30}, {**report, "born": "soon"}, {**report, "Service": 7},
              {**report, "State": "resting"}, {**report, "Labels": [["a"]]}, {"New": nested, **report}]
    without = [{key: value for key, value in report.items() if key != missing}
               for missing in ("born", "Service", "Zone", "State", "Capacity", "Sequence")]
    return [json.dumps(each).encode() for each in values + without] + [
        b"\xff\x01", b"[]", b"", b'{"born":1e999}', b"[" * 200000, b'{"a":' * 100000]


class Soak:
    """The run of one seed."""

    def __init__(self, program, work_dir, seed, seconds):
        self.rng = random.Random(seed)
        self.seed = seed
        self.checker = InvariantChecker()
        self.seconds = seconds
        self.cluster = Cluster(program, work_dir, 10 + seed % 200, self.checker, seed)
        self.version = 0
        self.acknowledged = 0   # highest acknowledged configuration version
        self.faults = []
        self.connections = http11.ConnectionPool()   # reused until the entry closes them
        self.started_at = time.monotonic()

    def record_fault(self, text):
        self.faults.append(f"{time.monotonic():.2f} {text}")

    def config(self, version):
        return {"Version": version, "Routes": [
            {"Name": "q", "Host": HOST, "PathPrefix": "/q/", "Kind": "unsafe", "TimeoutMs": 3000 + version,
             "TargetLatencyMs": 1000, "Priority": 0, "Service": "desk", "MaxAttempts": 4, "SlackFactor": 2.0,
             "Public": False}],
            "Services": [{"Name": "desk", "HealthPath": "/healthz", "RejectsOverload": True}],
            "Tenants": [{"Name": "t", "ApiKeys": [KEY], "Priority": 0, "Guaranteed": {"Gpu": 8}}]}

    async def put_config(self, seconds):
        """Sends the next configuration to random entries until one acknowledges it."""
        self.version += self.rng.randint(1, 5)
        version, end = self.version, time.monotonic() + seconds
        while time.monotonic() < end:
            entry = self.rng.randrange(len(self.cluster.entries))
            answer = await http11.request(self.cluster.operator_address(entry), "POST", "/Config.Replace",
                                          self.config(version), timeout=1)
            if answer and answer[0] == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
            if answer and 400 <= answer[0] < 500 and answer[0] not in (408, 429):
                self.checker.fail(f"configuration {version} was refused with {answer[0]}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def read_config(self):
        known = self.acknowledged
        entry = self.rng.randrange(len(self.cluster.entries))
        answer = await http11.request(self.cluster.operator_address(entry), "GET", "/Config.Get", timeout=1)
        if answer and answer[0] == 200 and json.loads(answer[2])["Version"] < known:
            self.checker.fail(f"entry {entry} showed configuration {json.loads(answer[2])['Version']} after {known}")
        return answer

    async def update_configs(self, fault_deadline):
        while time.monotonic() < fault_deadline:
            await self.put_config(3)
            await self.read_config()
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))

    async def _send(self, entry, method, job, raw):
        return await http11.request(self.cluster.consumer_address(entry), method, "/q/" + job.id, raw=raw,
                                    headers={"Host": HOST, "Api-Key": KEY, "X-Deadline-Ms": "1500"}, timeout=1.5,
                                    pool=self.connections)

    async def call_until_answered(self, method, job, seconds, expected_statuses=(200,)):
        """Repeats a call at random entries until it has a final answer; returns (status, body).

        Without a final answer the status is 503, or None if an attempt may have taken effect.
        """
        end, outcome_unknown = time.monotonic() + seconds, False
        raw = json.dumps({"Spec": job.spec, "Steps": job.steps}).encode() if method == "POST" else b""
        while time.monotonic() < end:
            entry = self.rng.randrange(len(self.cluster.entries))
            answer = await self._send(entry, method, job, raw)
            if answer and answer[0] in expected_statuses:
                return answer[0], answer[2]
            if answer and answer[0] not in (429, 500, 502, 503, 504):
                return answer[0], answer[2]
            outcome_unknown = outcome_unknown or answer is None or answer[0] in (500, 502, 504)
            await asyncio.sleep(0.2)
        return (None if outcome_unknown else 503), b""

    async def submit_jobs(self, fault_deadline):
        tasks = []
        while time.monotonic() < fault_deadline:
            job = Job(f"{self.rng.getrandbits(64):016x}", generate_steps(self.rng))
            self.checker.jobs[job.id] = job
            tasks.append(asyncio.create_task(self._submit(job)))
            await asyncio.sleep(self.rng.expovariate(3))
        await asyncio.gather(*tasks)

    async def _submit(self, job):
        status, _ = await self.call_until_answered("POST", job, 6)
        job.accepted = status == 200
        job.rejected = status is not None and status != 200
        if job.accepted and self.rng.random() < 0.15:
            await asyncio.sleep(self.rng.uniform(0, 1))
            status, _ = await self.call_until_answered("DELETE", job, 6, (200, 410))
            job.cancelled = True
        elif job.accepted and self.rng.random() < 0.2:
            await asyncio.sleep(self.rng.uniform(0.5, 3))
            await self.call_until_answered("POST", job, 3)   # a repeated submission must not create a second job

    async def inject_faults(self, fault_deadline):
        """Starts random faults. They may overlap, but at most one disk is lost at a time."""
        tasks, disk_lock = [], asyncio.Lock()
        while time.monotonic() < fault_deadline:
            tasks.append(asyncio.create_task(self._inject_fault(disk_lock)))
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        await asyncio.gather(*tasks)

    async def _inject_fault(self, disk_lock):
        rng, cluster = self.rng, self.cluster
        number = rng.randrange(len(cluster.entries))
        proxy, entry = cluster.proxies[number], cluster.entries[number]
        agent, worker = rng.choice(cluster.agents), rng.choice(cluster.workers)
        span = rng.uniform(0.2, 3)
        kind = rng.choice(["delay", "reset", "silence", "cut-in", "cut-out", "kill", "pause", "term", "herd", "wipe",
                            "disk-full", "torn-write", "agent-kill", "agent-pause", "worker-crash", "late-orders"])
        self.record_fault(f"{kind} entry {number} {agent.name} {worker.name} {span:.1f} s")
        if kind == "delay":
            proxy.delay = rng.uniform(0.01, 0.3)
        elif kind == "reset":
            proxy.reset_connections()
        elif kind == "silence":
            proxy.silence_connections()
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
        elif kind == "wipe" and not disk_lock.locked():
            async with disk_lock:
                await cluster.wipe_disk(rng.randrange(3), span)
                await asyncio.sleep(8)   # the group adds the new replica before another disk may be lost
        elif kind == "disk-full":
            entry.limit_files(rng.randrange(0, 4096))
        elif kind == "torn-write":
            await cluster.append_torn_write(rng.randrange(3), rng.randbytes(rng.randint(1, 300)), span)
        elif kind == "agent-kill":
            agent.send(signal.SIGKILL)
        elif kind == "agent-pause" and not agent.paused:
            await agent.pause(span * 2)
        elif kind == "worker-crash" and worker.up:
            await worker.crash(span, rng.random() < 0.5)
        elif kind == "late-orders":
            worker.delayed_share = 0.3
        await asyncio.sleep(span)
        entry.limit_files(None)
        proxy.clear_faults()
        worker.delayed_share = 0.0

    async def replace_lives(self, fault_deadline, rng):
        """Lets workers be back at once under their ids, and cuts some of them off soon after.

        It has a source of numbers of its own, so that a seed injects the same other faults as before.
        """
        while time.monotonic() < fault_deadline:
            await asyncio.sleep(rng.uniform(0.5, 4))
            worker, down, cut = rng.choice(self.cluster.workers), rng.uniform(0.01, 0.2), rng.uniform(0, 6)
            self.record_fault(f"back at once {worker.name}, cut for {cut:.1f} s")
            if worker.up:
                await worker.crash(down, keep_id=True)
            await asyncio.sleep(rng.uniform(0, 2))
            worker.cut = cut > 3
            await asyncio.sleep(cut if worker.cut else 0)
            worker.cut = False

    async def send_odd_reports(self, fault_deadline, rng):
        """Sends reports of other writers to the agents, under the ids of their workers."""
        while time.monotonic() < fault_deadline:
            worker = rng.choice(self.cluster.workers)
            body = rng.choice(odd_reports(worker.report()))
            answer = await http11.request(worker.agent_address, "POST", f"/Instances.Heartbeat/{worker.id}", raw=body,
                                          timeout=1)
            if answer and answer[0] == 200:
                self.checker.fail(f"the agent of {worker.name} accepted the report {body[:200]}")
            await asyncio.sleep(rng.uniform(0.02, 0.2))

    async def check_outcomes(self):
        """Checks that every accepted job ends and that the newest acknowledged configuration is readable."""
        end = time.monotonic() + CALM_SECONDS
        waiting = [job for job in self.checker.jobs.values() if job.accepted]
        while waiting and time.monotonic() < end:
            left = []
            for job in waiting:
                status, body = await self.call_until_answered("GET", job, 5, (200, 410))
                state = json.loads(body)["State"] if status == 200 else status
                if state == "completed" and not all(map(job.step_done, range(len(job.steps)))):
                    self.checker.fail(f"job {job.id} is shown as completed before all of its tasks are done")
                if status == 410 or (state == "failed") or (state == "cancelled" and not job.cancelled):
                    self.checker.fail(f"job {job.id} was accepted and is {state}")
                elif state not in ("completed", "cancelled"):
                    left.append(job)
            waiting = left
            await asyncio.sleep(0.5)
        for job in waiting:
            self.checker.fail(f"job {job.id} has not ended {CALM_SECONDS} s after the faults")
        for _ in range(20):
            answer = await self.read_config()
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.3)
        self.checker.fail("the configuration can't be read back")

    def _on_supervisor_end(self, task):
        if not task.cancelled():
            self.checker.fail(f"the soak can't start processes any more: {task.exception()!r}")

    async def run(self):
        # Cancels the run on SIGTERM, so that the started processes do not outlive the soak.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        supervisor = asyncio.create_task(self.cluster.restart_processes())
        supervisor.add_done_callback(self._on_supervisor_end)
        try:
            await self.cluster.start()
            if not await self.put_config(START_SECONDS):
                self.checker.fail("no configuration was accepted at the start")
                return
            fault_deadline = time.monotonic() + self.seconds
            await asyncio.gather(self.update_configs(fault_deadline), self.submit_jobs(fault_deadline),
                                 self.inject_faults(fault_deadline),
                                 self.send_odd_reports(fault_deadline, random.Random(self.seed)),
                                 self.replace_lives(fault_deadline, random.Random(self.seed)))
            await self.check_outcomes()
        finally:
            supervisor.cancel()
            await self.cluster.stop()
            await self._close_connections()

    async def _close_connections(self):
        """Closes the connections that are left while the event loop runs; later it can't close them."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.connections.close()
        await asyncio.sleep(0)


def run_seed(program, work_dir, seed, seconds):
    """Runs one seed; returns the violations."""
    shutil.rmtree(work_dir, ignore_errors=True)
    os.makedirs(work_dir)
    soak = Soak(program, work_dir, seed, seconds)
    asyncio.run(soak.run())
    accepted = sum(job.accepted for job in soak.checker.jobs.values())
    print(f"seed {seed}: {len(soak.checker.jobs)} jobs, {accepted} accepted, {len(soak.faults)} faults, "
          f"{len(soak.checker.violations)} violations", flush=True)
    for line in soak.checker.violations[:10]:
        print(f"seed {seed}: {line}", flush=True)
    if not soak.checker.violations:
        shutil.rmtree(work_dir)
    else:
        with open(os.path.join(work_dir, "soak.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(sorted(soak.checker.violations + soak.faults)) + "\n")
    return soak.checker.violations


def read_seeds(path):
    """Returns the first number of each line that is not a comment."""
    if not path:
        return []
    with open(path, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and not line.startswith("#")]


def run_seeds(options):
    """Runs each seed in its own process; returns the number of seeds and of failed seeds."""
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
    parser.add_argument("--seconds", type=float, default=12, help="duration of the fault phase")
    options = parser.parse_args()
    if options.seeds > 1:
        total, failed = run_seeds(options)
        print(f"{total - failed} passed, {failed} failed")
        return 1 if failed else 0
    violations = run_seed(os.path.abspath(options.program),
                          os.path.join(os.path.abspath(options.work_dir), f"seed-{options.seed}"), options.seed,
                          options.seconds)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
