"""A simulated worker that runs tasks under leases and checks each start of a run."""

import asyncio
import random
import time

import http11

CAPACITY = {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}


class InvariantChecker:
    """Records what the workers run and collects the violated invariants."""

    def __init__(self):
        self.jobs = {}          # id -> Job that a consumer submitted
        self.active_runs = {}   # task -> set of running (worker, run)
        self.acknowledged = set()  # tasks whose end "done" was acknowledged while its lease held
        self.violations = []
        self.workers = {}       # by name

    def fail(self, text):
        self.violations.append(f"{time.monotonic():.2f} {text}")

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
        others = self.active_runs.setdefault(task, set())
        if others:
            self.fail(f"{task} run {run} started on {worker} while {sorted(others)} is at work")
        if task in self.acknowledged:
            self.fail(f"{task} run {run} started after its end was acknowledged")
        if any(not job.step_done(earlier) for earlier in job.steps[int(step)].get("DependsOn", [])):
            self.fail(f"{task} run {run} started before the steps that it depends on")
        others.add((worker, run))

    def on_end(self, worker, task, run, outcome):
        self.active_runs.get(task, set()).discard((worker, run))
        job = self.jobs.get(task.split(".")[0])
        if outcome == "done" and job:
            job.done.add(task)


class Worker:
    """The worker of one VM over all of its incarnations."""

    def __init__(self, name, zone, rack, address, agent_address, checker, bounds, seed):
        self.name, self.zone, self.rack = name, zone, rack
        self.address, self.agent_address = address, agent_address
        self.checker, self.bounds = checker, bounds
        checker.workers[name] = self
        self.random = random.Random(seed)
        self.delayed_share = 0.0
        self.cut = False      # nothing arrives from the agent, and no report reaches it
        self.incarnation = 0
        self.id_suffix = 0    # part of the id; an incarnation may keep the id of the previous one
        self.up = False
        self.server = None
        self._begin_incarnation()

    def _begin_incarnation(self):
        self.incarnation += 1
        self.id = f"{self.name}-{self.id_suffix}"
        self.incarnation_id = int(time.time() * 1000) + self.incarnation
        self.started_at = time.monotonic()
        self.sequence = 0
        self.fencing_token = 0
        self.lease_end_ms = 0
        self.runs = {}     # task -> dict(run, start, work, gang)
        self.highest_ended_run = {}   # task -> highest run that was stopped or ended
        self.unacknowledged_ends = []     # [number, task, run, outcome, checkpoint]
        self.next_end = 1
        self.last_lapsed_end = 0  # last end that was listed when a lease expired
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000 * 0.985) + 1000  # runs 1.5% slow

    async def start(self, first_heartbeat=0.0):
        self.up = True
        self.server = http11.Server(self.handle)
        await self.server.start(*self.address)
        asyncio.create_task(self._send_heartbeats(self.incarnation, first_heartbeat))
        asyncio.create_task(self._advance_runs(self.incarnation))

    def stop(self):
        """Ends the loops by changing the incarnation number: asyncio.wait_for() may lose a cancellation."""
        self.up = False
        self.incarnation += 1
        if self.server:
            self.server.abort()

    async def crash(self, down_seconds, keep_id):
        """Ends the incarnation; the next one announces itself within a heartbeat."""
        self.up = False
        self.server.abort()
        for task, run in list(self.runs.items()):
            self.checker.on_end(self.name, task, run["run"], "crash")
            if run["gang"] and run["whole"]:
                self._end_gang(task, run, "broken")
        self.incarnation += 1
        await asyncio.sleep(down_seconds)
        self.id_suffix += 0 if keep_id else 1
        self._begin_incarnation()
        first = random.Random(f"{self.name} {self.incarnation}").uniform(0, self.bounds["beat"])
        await self.start(first)

    def report(self):
        return {"Service": "desk", "Address": "%s:%d" % self.address, "Zone": self.zone, "Version": "v1", "Slots": 8,
                "State": "ready", "ColdRemainingMs": 0, "Capacity": CAPACITY, "Labels": ["a", self.rack],
                "Machine": self.name, "ClockMs": self.clock_ms(), "Sequence": self.sequence,
                "born": self.incarnation_id}

    async def _send_heartbeats(self, incarnation, first_heartbeat):
        await asyncio.sleep(first_heartbeat)
        while self.incarnation == incarnation:
            self.sequence += 1
            if not self.cut:
                await http11.request(self.agent_address, "POST", f"/Instances.Heartbeat/{self.id}", self.report(),
                                     timeout=1)
            await asyncio.sleep(self.bounds["beat"])

    async def _advance_runs(self, incarnation):
        while self.incarnation == incarnation:
            now = time.monotonic()
            if self.runs and self.clock_ms() > self.lease_end_ms:
                for task in list(self.runs):
                    if task in self.runs:
                        self._finish(task, "lapsed")
            for task, run in list(self.runs.items()):
                if task not in self.runs:
                    continue
                if run["gang"] and not run["whole"]:
                    self._check_gang(task, run, now)
                elif now >= run["start"] + run["work"]:
                    self._finish(task, "failed" if run["fails"] else "done")
            await asyncio.sleep(0.02)

    def _check_gang(self, task, run, now):
        job = self.checker.jobs.get(task.split(".")[0])
        prefix, count = task.rsplit(".", 1)[0], run["gang"]
        present = sum(1 for index in range(count)
                      if any(number == run["run"]
                             for _, number in self.checker.active_runs.get(f"{prefix}.{index}", ())))
        if present == count and job:
            run["whole"], run["start"] = True, now
        elif now > run["start"] + self.bounds["gang"]:
            self._finish(task, "alone")

    def _finish(self, task, outcome):
        run = self.runs.pop(task)
        self.highest_ended_run[task] = max(self.highest_ended_run.get(task, 0), run["run"])
        self.unacknowledged_ends.append([self.next_end, task, run["run"], outcome, ""])
        self.next_end += 1
        self.checker.on_end(self.name, task, run["run"], outcome)
        self.changed.set()
        if run["gang"]:
            self._end_gang(task, run, "done" if outcome == "done" else "broken")

    def _end_gang(self, task, run, outcome):
        """Ends the other members of a gang: they finish together, and none continues without the others."""
        prefix = task.rsplit(".", 1)[0]
        for index in range(run["gang"]):
            for name, number in list(self.checker.active_runs.get(f"{prefix}.{index}", ())):
                other = self.checker.workers[name]
                member = other.runs.get(f"{prefix}.{index}")
                if number == run["run"] and member and member["whole"]:
                    other._finish(f"{prefix}.{index}", outcome)  # pylint: disable=protected-access

    async def handle(self, method, path, headers, body):
        expected = headers.get("x-expected-instance", self.id)
        incarnation = self.incarnation
        if self.cut:
            asyncio.create_task(self._execute_after_cut(path, expected, body))
            return None
        if path != "/hold" and self.random.random() < self.delayed_share:
            asyncio.create_task(self._execute_late(path, expected, body))
            return None
        if expected != self.id:
            return 421, None
        answer = await self._execute(path, body) if self.up else None
        return answer if self.incarnation == incarnation else None

    async def _execute_late(self, path, expected, body):
        """Executes a call seconds later, maybe in the next incarnation under the same id."""
        await asyncio.sleep(self.random.uniform(1, 4))
        if self.up and expected == self.id:
            await self._execute(path, body)

    async def _execute_after_cut(self, path, expected, body):
        while self.cut:
            await asyncio.sleep(0.05)
        await self._execute_late(path, expected, body)

    async def _execute(self, path, body):
        call = http11.json.loads(body)
        token = call.get("FencingToken", 0)
        if token < self.fencing_token:
            return 409, self._response_body(Reason="fence")
        self.fencing_token = token
        if path == "/hold":
            return await self._renew_lease(call)
        if path == "/run-start":
            return self._start_run(call)
        if path == "/run-stop":
            task, number = call["Task"], call["RunId"]
            if task in self.runs and self.runs[task]["run"] <= number:
                self._finish(task, "stopped")
            self.highest_ended_run[task] = max(self.highest_ended_run.get(task, 0), number)
            return 200, self._response_body()
        return 404, None

    def _response_body(self, **fields):
        return {"ClockMs": self.clock_ms(), **fields}

    def _record_lapse(self):
        """Excludes ends from the acknowledged ones after the lease expired: the run may have been placed elsewhere."""
        if self.clock_ms() > self.lease_end_ms:
            self.last_lapsed_end = self.next_end - 1

    def _extend_lease(self, deadline):
        self._record_lapse()
        if deadline is not None:
            self.lease_end_ms = max(self.lease_end_ms, min(deadline, self.clock_ms() + int(self.bounds["hold"] * 1000)))

    async def _renew_lease(self, call):
        self._extend_lease(call.get("DeadlineMs"))
        cursor = call.get("AckCursor", 0)
        for number, task, _, outcome, _ in self.unacknowledged_ends:
            if self.last_lapsed_end < number <= cursor and outcome == "done":
                self.checker.acknowledged.add(task)
        self.unacknowledged_ends = [end for end in self.unacknowledged_ends if end[0] > cursor]
        if call.get("WaitMs") and not self.unacknowledged_ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), call["WaitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", 50, 0] for task, run in self.runs.items()]
        # Only lists name the incarnation; answers to orders do not.
        return 200, self._response_body(Running=running, Finished=self.unacknowledged_ends[:500],
                                        born=self.incarnation_id)

    def _start_run(self, call):
        task, number = call["Task"], call["RunId"]
        if call["DeadlineMs"] <= self.clock_ms():
            return 409, self._response_body(Reason="late")
        self._extend_lease(call["DeadlineMs"])
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, self._response_body()
        if number <= self.highest_ended_run.get(task, 0) or task in self.runs:
            return 409, self._response_body(Reason="old")
        job = self.checker.jobs.get(task.split(".")[0])
        step = job.steps[int(task.split(".")[2])] if job else {}
        if sum(run["gpu"] for run in self.runs.values()) + step.get("Gpu", 0) > CAPACITY["Gpu"]:
            return 409, self._response_body(Reason="room")
        self.checker.on_start(self.name, task, number, call["Spec"], call.get("Checkpoint"))
        self.runs[task] = {"run": number, "start": time.monotonic(), "work": step.get("EstimatedMs", 100) / 1000,
                           "gang": step.get("Count", 1) if step.get("Gang") else 0, "whole": False,
                           "gpu": step.get("Gpu", 0), "fails": call["Spec"].startswith("fails")}
        return 200, self._response_body()
