"""A minion as the pages describe it: fences, leases, runs, ends, liveness reports."""

import asyncio
import json
import time

import wire


class Minion:
    """One minion over all of its lives.

    tasks(name) returns {"ms", "gpu", "fails", "lasts"} for a task that a consumer sent, or None. A life may begin under the id
    that the former one had.
    """

    def __init__(self, name, zone, rack, service, app, report_to, record, tasks, max_hold_ms=6000, heartbeat_ms=1500):
        self.name, self.zone, self.rack, self.service = name, zone, rack, service
        self.app, self.report_to, self.record, self.tasks = app, report_to, record, tasks
        self.max_hold_ms, self.heartbeat_ms = max_hold_ms, heartbeat_ms
        self.capacity = {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}
        self.life = 0    # changes when a life begins or ends, which ends the loops of the former one
        self.number = 0
        self.refusals = 0
        self.up = False
        self.reports = True
        self.leave_unanswered = None   # (path, token, number of holds in this life) -> bool
        self.id = f"i-{name}"
        self.server = None

    # ---- lives ----

    async def start(self, new_id=None):
        self.life += 1
        self.number += 1
        self.id = new_id or self.id
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence, self.token, self.lease_end, self.next_end = 0, 0, 0, 1
        self.runs, self.highest_over, self.finished = {}, {}, []
        self.holds, self.leases = 0, 0
        self.changed = asyncio.Event()
        self.up = True
        self.server = wire.Server(self._handle)
        await self.server.start(*self.app)
        self.record(f"minion {self.name} life {self.number} starts as {self.id} born {self.born}")
        asyncio.create_task(self._report(self.life))
        asyncio.create_task(self._work(self.life))

    def crash(self):
        """Ends this life at once; what ran is gone, nothing is said."""
        self.record(f"minion {self.name} life {self.number} crashes with {sorted(self.runs)} running")
        self.up = False
        self.life += 1
        self.server.abort()
        self.runs = {}

    def stop(self):
        self.up = False
        self.life += 1
        if self.server:
            self.server.abort()

    def clock(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def report(self):
        self.sequence += 1
        return {"Service": self.service, "Address": "%s:%d" % self.app, "Zone": self.zone, "Version": "v1", "Slots": 8,
                "State": "ready", "ColdRemainingMs": 0, "Capacity": self.capacity, "Labels": ["a", self.rack],
                "Machine": "m-" + self.name, "ClockMs": self.clock(), "Sequence": self.sequence, "born": self.born}

    async def _report(self, life):
        while self.life == life:
            if self.reports:
                asyncio.create_task(self.send_report())
            await asyncio.sleep(self.heartbeat_ms / 1000)

    async def send_report(self):
        body = self.report()
        answer = await wire.request(self.report_to, "POST", f"/Instances.Heartbeat/{self.id}", body, timeout=1.0)
        if body["Sequence"] <= 2 or not answer:
            self.record(f"minion {self.name} report {body['Sequence']} of {self.id} born {body['born']} -> "
                        f"{answer[0] if answer else 'no answer'}")
        return answer

    # ---- work ----

    async def _work(self, life):
        last = time.monotonic()
        while self.life == life:
            now = time.monotonic()
            if self.runs and self.clock() > self.lease_end:
                for task in list(self.runs):
                    self._end(task, "lapsed")
            for task, run in list(self.runs.items()):
                run["done_ms"] += (now - last) * 1000
                if run["stopping"] and now >= run["stopping"]:
                    self._end(task, "stopped")
                elif run["done_ms"] >= run["ms"] and not run["lasts"]:
                    self._end(task, "failed" if run["fails"] else "done")
            last = now
            await asyncio.sleep(0.02)

    def _end(self, task, how):
        run = self.runs.pop(task)
        self.highest_over[task] = max(self.highest_over.get(task, 0), run["run"])
        self.finished.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.record(f"minion {self.name} run {task} #{run['run']} ends {how}")
        self.changed.set()

    def gpu_used(self):
        return sum(run["gpu"] for run in self.runs.values())

    # ---- calls ----

    async def _handle(self, method, path, headers, body):
        if method == "GET":
            return 200, None
        life = self.life
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, None
        call = json.loads(body)
        if path == "/hold":
            self.holds += 1
        silent = self.leave_unanswered and self.leave_unanswered(path, call, self.holds)
        answer = await self._execute(path, call)
        return None if silent or self.life != life or not self.up else answer

    def _body(self, **fields):
        return {"ClockMs": self.clock(), "born": self.born, **fields}

    def _extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + self.max_hold_ms))

    async def _execute(self, path, call):
        token = call.get("FencingToken", 0)
        if token < self.token:
            self.refusals += 1
            if self.refusals <= 3 or self.refusals % 1000 == 0:
                self.record(f"minion {self.name} {path} with token {token} below {self.token} -> 409 fence "
                            f"({self.refusals})")
            return 409, self._body(Reason="fence")
        if token > self.token:
            self.record(f"minion {self.name} {path} raises its token from {self.token} to {token}")
        self.token = token
        if path == "/run-start":
            return self._start(call)
        if path == "/run-stop":
            return self._stop(call)
        if path == "/hold":
            return await self._hold(call)
        return 404, None

    def _start(self, call):
        task, number = call["Task"], call["RunId"]
        if call["DeadlineMs"] <= self.clock():
            return 409, self._body(Reason="late")
        self._extend(call["DeadlineMs"])
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, self._body()
        if number <= self.highest_over.get(task, 0) or task in self.runs:
            return 409, self._body(Reason="old")
        known = self.tasks(task)
        gpu = known["gpu"] if known else 0
        if self.gpu_used() + gpu > self.capacity["Gpu"]:
            return 409, self._body(Reason="room")
        self.runs[task] = {"run": number, "done_ms": 0, "ms": known["ms"] if known else 1000, "gpu": gpu,
                           "fails": bool(known and known.get("fails")), "lasts": bool(known and known.get("lasts")),
                           "stopping": None}
        self.record(f"minion {self.name} run {task} #{number} starts" + ("" if known else " (nobody sent it)"))
        return 200, self._body()

    def _stop(self, call):
        task, number = call["Task"], call["RunId"]
        run = self.runs.get(task)
        if run and run["run"] <= number and not run["stopping"]:
            run["stopping"] = time.monotonic() + 0.1
            self.record(f"minion {self.name} run {task} #{run['run']} is told to stop")
        elif not run:
            self.highest_over[task] = max(self.highest_over.get(task, 0), number)
        return 200, self._body()

    async def _hold(self, call):
        if "DeadlineMs" in call:
            self.leases += 1
            self._extend(call["DeadlineMs"])
        cursor = call.get("AckCursor", 0)
        self.finished = [end for end in self.finished if end[0] > cursor]
        if call.get("WaitMs") and not self.finished:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), min(call["WaitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", min(100, int(100 * run["done_ms"] / run["ms"])), 1000]
                   for task, run in self.runs.items()]
        return 200, self._body(Running=running, Finished=self.finished[:500])
