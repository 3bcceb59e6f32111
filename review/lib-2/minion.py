"""A stand-in for a minion. It follows PROTOCOL.md: leases, fencing, numbered ends, lives with a time of birth.

Only what PROTOCOL.md calls its report and its lists of runs carries "born"; the answers to /run-start and /run-stop
do not.
"""

import asyncio
import json
import time

import http11

CAPACITY = {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}
ENDS_AT_ONCE = 500


class Minion:
    """The minion of one machine over all of its lives."""

    def __init__(self, name, zone, rack, address, agent_address, bounds, record):
        self.name, self.zone, self.rack = name, zone, rack
        self.address, self.agent_address = address, agent_address
        self.bounds, self.record = bounds, record
        self.id = "i-" + name
        self.life = 0
        self.up = False
        self.server = None
        self.starts = []      # (time, task, run, life) of every start, in order
        self.spans = []       # [task, run, life, begin, end or None] of every run
        self.hangs_until = 0  # until then calls of the agent are neither answered nor carried out
        self.draining_until = None  # when it leaves, once it drains
        self.drain_acked = None     # when its first report that it drains was acknowledged

    # ---- lives ----

    async def begin(self, first_report_s=0.0):
        """Begins a life, which knows nothing of the one before. Its first report is sent first_report_s later."""
        self.life += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.sequence = self.token = self.deadline = 0
        self.running = {}     # task -> dict of the run
        self.highest = {}     # task -> highest run that was stopped or ended here
        self.ends = []        # rows that were not acknowledged
        self.next_end = 1
        self.changed = asyncio.Event()
        self.report_now = asyncio.Event()
        self.up = True
        self.server = http11.Server(self._handle)
        await self.server.start(*self.address)
        self.record(f"{self.name}: life {self.life} of {self.id} begins, born {self.born}")
        asyncio.create_task(self._report(self.life, first_report_s))
        asyncio.create_task(self._work(self.life))

    def crash(self):
        """Ends the life: everything that runs is gone, connections are reset."""
        self.up = False
        self.record(f"{self.name}: life {self.life} ends with {len(self.running)} runs")
        self.life += 1   # ends the loops of this life
        self.life -= 1
        self.server.abort()
        for run in self.running.values():
            run["span"][4] = time.monotonic()
        self.running = {}

    def drain(self, remaining_s):
        """Says from now on that it leaves after remaining_s."""
        self.draining_until = time.monotonic() + remaining_s
        self.record(f"{self.name}: drains, {remaining_s} s remain")
        self.report_now.set()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def _alive(self, life):
        return self.up and self.life == life

    async def _report(self, life, first_report_s):
        await asyncio.sleep(first_report_s)
        while self._alive(life):
            self.sequence += 1
            report = {"Service": "desk", "Address": "%s:%d" % self.address, "Zone": self.zone, "Version": "v1",
                      "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Capacity": CAPACITY,
                      "Labels": ["a", self.rack], "Machine": "m-" + self.name, "ClockMs": self.clock_ms(),
                      "Sequence": self.sequence, "born": self.born}
            draining = self.draining_until is not None
            if draining:
                report.update(State="draining", RemainingMs=max(0, int((self.draining_until - time.monotonic()) * 1000)))
            answer = await http11.request(self.agent_address, "POST", f"/Instances.Heartbeat/{self.id}", report,
                                          timeout=1)
            if draining and self.drain_acked is None and answer and answer[0] == 200:
                self.drain_acked = time.monotonic()
                self.record(f"{self.name}: its report that it drains is acknowledged")
            self.report_now.clear()
            try:
                await asyncio.wait_for(self.report_now.wait(), self.bounds["HeartbeatMs"] / 1000)
            except asyncio.TimeoutError:
                pass

    async def _work(self, life):
        while self._alive(life):
            now = time.monotonic()
            if self.running and self.clock_ms() > self.deadline:
                for task in list(self.running):
                    self._end(task, "lapsed")
            for task, run in list(self.running.items()):
                if now >= run["begin"] + run["work_s"]:
                    self._end(task, "done")
            await asyncio.sleep(0.01)

    def _end(self, task, how):
        run = self.running.pop(task)
        run["span"][4] = time.monotonic()
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.record(f"{self.name}: life {self.life}: run {run['run']} of {task} ends {how}")
        self.changed.set()

    # ---- calls of the agent ----

    async def _handle(self, method, path, headers, body):
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, None
        call = json.loads(body) if body else {}
        if time.monotonic() < self.hangs_until:
            self.record(f"{self.name}: leaves {path} {call.get('Task', '')} without an answer")
            await asyncio.sleep(10)
            return 503, None
        if method != "POST" or path not in ("/hold", "/run-start", "/run-stop"):
            return 404, None
        if call.get("FencingToken", 0) < self.token:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
        self.token = call.get("FencingToken", 0)
        if path == "/hold":
            return await self._hold(call)
        return self._start(call) if path == "/run-start" else self._stop(call)

    def _extend(self, deadline):
        limit = self.clock_ms() + self.bounds["MaxHoldMs"]
        self.deadline = max(self.deadline, min(deadline, limit))

    async def _hold(self, call):
        if "DeadlineMs" in call:
            self._extend(call["DeadlineMs"])
        self.ends = [end for end in self.ends if end[0] > call.get("AckCursor", 0)]
        if call.get("WaitMs") and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), min(call["WaitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = [[task, run["run"], "", min(99, int(100 * (now - run["begin"]) / run["work_s"])), 0]
                for task, run in self.running.items()]
        return 200, {"ClockMs": self.clock_ms(), "born": self.born, "Running": rows,
                     "Finished": self.ends[:ENDS_AT_ONCE]}

    def _start(self, call):
        task, number = call["Task"], call["RunId"]
        if call["DeadlineMs"] <= self.clock_ms():
            return 409, {"ClockMs": self.clock_ms(), "Reason": "late"}
        self._extend(call["DeadlineMs"])
        there = self.running.get(task)
        if there and there["run"] == number:
            return 200, {"ClockMs": self.clock_ms()}
        if there or number <= self.highest.get(task, 0):
            return 409, {"ClockMs": self.clock_ms(), "Reason": "old"}
        spec = json.loads(call["Spec"])
        used = sum(run["cpu"] for run in self.running.values())
        if used + spec["cpu"] > CAPACITY["Cpu"]:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "room"}
        now = time.monotonic()
        span = [task, number, self.life, now, None]
        self.spans.append(span)
        self.starts.append((now, task, number, self.life))
        self.running[task] = {"run": number, "begin": now, "work_s": spec["work_ms"] / 1000, "cpu": spec["cpu"],
                              "span": span}
        self.record(f"{self.name}: life {self.life}: run {number} of {task} starts, token {call['FencingToken']}")
        return 200, {"ClockMs": self.clock_ms()}

    def _stop(self, call):
        task, number = call["Task"], call["RunId"]
        if task in self.running and self.running[task]["run"] <= number:
            self._end(task, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {"ClockMs": self.clock_ms()}
