"""A stand-in for the workers: runs tasks under leases as the platform's workers do, and checks what starts."""

import asyncio
import random
import time

import http11

CAPACITY = {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}


class Truth:
    """What the workers saw of all tasks, and the first promises that were broken."""

    def __init__(self):
        self.jobs = {}          # id -> Job of the load, for spec, steps and outcome
        self.live = {}          # task -> set of (worker, run) at work
        self.acknowledged = set()  # tasks whose end "done" was acknowledged while its lease held
        self.broken = []
        self.workers = {}       # by name

    def fail(self, text):
        self.broken.append(f"{time.monotonic():.2f} {text}")

    def on_start(self, worker, task, run, spec, checkpoint):
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None:
            self.fail(f"{task} run {run} started, but nobody submitted its job")
            return
        if job.rejected:
            self.fail(f"{task} run {run} started, but its job was refused as not run")
        if spec != job.spec:
            self.fail(f"{task} run {run} started with another payload")
        if checkpoint and checkpoint != job.checkpoints.get(task):
            self.fail(f"{task} run {run} started with a checkpoint that is not its own")
        others = self.live.setdefault(task, set())
        if others:
            self.fail(f"{task} run {run} started on {worker} while {sorted(others)} is at work")
        if task in self.acknowledged:
            self.fail(f"{task} run {run} started after its end was acknowledged")
        if any(not job.step_done(earlier) for earlier in job.steps[int(step)].get("DependsOn", [])):
            self.fail(f"{task} run {run} started before the steps that it depends on")
        others.add((worker, run))

    def on_end(self, worker, task, run, how):
        self.live.get(task, set()).discard((worker, run))
        job = self.jobs.get(task.split(".")[0])
        if how == "done" and job:
            job.done.add(task)


class Worker:
    """One machine's worker, in one life after the other."""

    def __init__(self, name, zone, rack, address, report_to, truth, bounds, seed):
        self.name, self.zone, self.rack = name, zone, rack
        self.address, self.report_to = address, report_to
        self.truth, self.bounds = truth, bounds
        truth.workers[name] = self
        self.random = random.Random(seed)
        self.late_share = 0.0
        self.life = 0
        self.number = 0    # part of the id; a life may keep the id of the one before
        self.up = False
        self.server = None
        self._begin_life()

    def _begin_life(self):
        self.life += 1
        self.id = f"{self.name}-{self.number}"
        self.born = int(time.time() * 1000) + self.life
        self.began = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.lease = 0
        self.runs = {}     # task -> dict(run, start, work, gang)
        self.barred = {}   # task -> highest run that was stopped or ended
        self.ends = []     # [number, task, run, how, checkpoint]
        self.next_end = 1
        self.lapsed_end = 0  # ends up to this number were listed when a lease ran out
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000 * 0.985) + 1000  # 1.5% slow

    async def start(self):
        self.up = True
        self.server = http11.Server(self.handle)
        await self.server.start(*self.address)
        asyncio.create_task(self._beat(self.life))
        asyncio.create_task(self._watch(self.life))

    def stop(self):
        """Ends the loops of this life by its number: a cancellation may be lost in asyncio.wait_for()."""
        self.up = False
        self.life += 1
        if self.server:
            self.server.abort()

    async def crash(self, down, keep_id):
        self.up = False
        self.server.abort()
        for task, run in list(self.runs.items()):
            self.truth.on_end(self.name, task, run["run"], "crash")
            if run["gang"] and run["whole"]:
                self._end_gang(task, run, "broken")
        self.life += 1
        await asyncio.sleep(down)
        self.number += 0 if keep_id else 1
        self._begin_life()
        await self.start()

    async def _beat(self, life):
        while self.life == life:
            self.sequence += 1
            await http11.request(self.report_to, "POST", f"/Instances.Heartbeat/{self.id}", {
                "Service": "desk", "Address": "%s:%d" % self.address, "Zone": self.zone, "Version": "v1", "Slots": 8,
                "State": "ready", "ColdRemainingMs": 0, "Capacity": CAPACITY, "Labels": ["a", self.rack],
                "Machine": self.name, "ClockMs": self.clock(), "Sequence": self.sequence, "born": self.born}, timeout=1)
            await asyncio.sleep(self.bounds["beat"])

    async def _watch(self, life):
        while self.life == life:
            now = time.monotonic()
            if self.runs and self.clock() > self.lease:
                for task in list(self.runs):
                    if task in self.runs:
                        self._finish(task, "lapsed")
            for task, run in list(self.runs.items()):
                if task not in self.runs:
                    continue
                if run["gang"] and not run["whole"]:
                    self._join_gang(task, run, now)
                elif now >= run["start"] + run["work"]:
                    self._finish(task, "failed" if run["fails"] else "done")
            await asyncio.sleep(0.02)

    def _join_gang(self, task, run, now):
        job = self.truth.jobs.get(task.split(".")[0])
        prefix, count = task.rsplit(".", 1)[0], run["gang"]
        present = sum(1 for index in range(count)
                      if any(number == run["run"] for _, number in self.truth.live.get(f"{prefix}.{index}", ())))
        if present == count and job:
            run["whole"], run["start"] = True, now
        elif now > run["start"] + self.bounds["gang"]:
            self._finish(task, "alone")

    def _finish(self, task, how):
        run = self.runs.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.truth.on_end(self.name, task, run["run"], how)
        self.changed.set()
        if run["gang"]:
            self._end_gang(task, run, "done" if how == "done" else "broken")

    def _end_gang(self, task, run, how):
        """The members of a gang end done together, and none goes on without the others."""
        prefix = task.rsplit(".", 1)[0]
        for index in range(run["gang"]):
            for name, number in list(self.truth.live.get(f"{prefix}.{index}", ())):
                other = self.truth.workers[name]
                member = other.runs.get(f"{prefix}.{index}")
                if number == run["run"] and member and member["whole"]:
                    other._finish(f"{prefix}.{index}", how)  # pylint: disable=protected-access

    # ---- calls ----

    async def handle(self, method, path, headers, body):
        expected = headers.get("x-expected-instance", self.id)
        life = self.life
        if path != "/hold" and self.random.random() < self.late_share:
            asyncio.create_task(self._carry_out_late(path, expected, body, life))
            return None
        if expected != self.id:
            return 421, None
        answer = await self._carry_out(path, body) if self.up else None
        return answer if self.life == life else None

    async def _carry_out_late(self, path, expected, body, life):
        await asyncio.sleep(self.random.uniform(1, 4))
        if self.up and expected == self.id:
            await self._carry_out(path, body)

    async def _carry_out(self, path, body):
        call = http11.json.loads(body)
        token = call.get("FencingToken", 0)
        if token < self.token:
            return 409, self._told(Reason="fence")
        self.token = token
        if path == "/hold":
            return await self._hold(call)
        if path == "/run-start":
            return self._start_run(call)
        if path == "/run-stop":
            task, number = call["Task"], call["RunId"]
            if task in self.runs and self.runs[task]["run"] <= number:
                self._finish(task, "stopped")
            self.barred[task] = max(self.barred.get(task, 0), number)
            return 200, self._told()
        return 404, None

    def _told(self, **fields):
        return {"ClockMs": self.clock(), "born": self.born, **fields}

    def _note_lapse(self):
        """An end does not count as noted if the lease ran out before: its run may have been placed elsewhere."""
        if self.clock() > self.lease:
            self.lapsed_end = self.next_end - 1

    def _extend(self, deadline):
        self._note_lapse()
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + int(self.bounds["hold"] * 1000)))

    async def _hold(self, call):
        self._extend(call.get("DeadlineMs"))
        cursor = call.get("AckCursor", 0)
        for number, task, _, how, _ in self.ends:
            if self.lapsed_end < number <= cursor and how == "done":
                self.truth.acknowledged.add(task)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if call.get("WaitMs") and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), call["WaitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", 50, 0] for task, run in self.runs.items()]
        return 200, self._told(Running=running, Finished=self.ends[:500])

    def _start_run(self, call):
        task, number = call["Task"], call["RunId"]
        if call["DeadlineMs"] <= self.clock():
            return 409, self._told(Reason="late")
        self._extend(call["DeadlineMs"])
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, self._told()
        if number <= self.barred.get(task, 0) or task in self.runs:
            return 409, self._told(Reason="old")
        job = self.truth.jobs.get(task.split(".")[0])
        step = job.steps[int(task.split(".")[2])] if job else {}
        if sum(run["gpu"] for run in self.runs.values()) + step.get("Gpu", 0) > CAPACITY["Gpu"]:
            return 409, self._told(Reason="room")
        self.truth.on_start(self.name, task, number, call["Spec"], call.get("Checkpoint"))
        self.runs[task] = {"run": number, "start": time.monotonic(), "work": step.get("EstimatedMs", 100) / 1000,
                           "gang": step.get("Count", 1) if step.get("Gang") else 0, "whole": False,
                           "gpu": step.get("Gpu", 0), "fails": call["Spec"].startswith("fails")}
        return 200, self._told()
