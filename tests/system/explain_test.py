"""Guards against failures that an operator can't explain.

Logs and metrics alone must lead from a request id to the cause, in the steps that docs/OPERATIONS.md lists.
"""

import asyncio
import json
import os
import shutil
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

import http11  # noqa: E402
from cluster import Cluster  # noqa: E402
from soak import CALM_SECONDS, HOST, KEY, START_SECONDS, Job, Soak  # noqa: E402

# Outside the loopback networks that the soak derives from its seeds.
NETWORK = 5
WHOLE_WORKER = {"Count": 1, "Cpu": 1000, "MemMb": 100, "Gpu": 8, "EstimatedMs": 1500}


class ExplainTest(Soak):
    """A deployment without faults, with a refused request, a delayed job and a failed job."""

    def __init__(self, program, work_dir):
        super().__init__(program, work_dir, 0, 0)
        self.work_dir = work_dir
        self.cluster = Cluster(program, work_dir, NETWORK, self.checker, 0)

    async def call(self, method, job, request, key=KEY):
        raw = json.dumps({"Spec": job.spec, "Steps": job.steps}).encode() if method == "POST" else b""
        answer = await http11.request(self.cluster.consumer_address(1), method, "/q/" + job.id, raw=raw, timeout=3,
                                      headers={"Host": HOST, "Api-Key": key, "Request-Id": request})
        return (answer[0], answer[2]) if answer else (None, b"")

    async def submit(self, number, steps, spec="payload", key=KEY):
        job = Job(f"{number:016x}", steps)
        job.spec = spec
        self.checker.jobs[job.id] = job
        status, _ = await self.call("POST", job, f"request-{number}", key)
        return job, status

    async def wait_for(self, job, state):
        end = time.monotonic() + CALM_SECONDS
        while time.monotonic() < end:
            status, body = await self.call("GET", job, "status")
            if status == 200 and json.loads(body)["State"] == state:
                return
            await asyncio.sleep(0.2)
        self.checker.fail(f"job {job.id} is not {state}")

    def trace(self, name):
        logs = [os.path.join(self.work_dir, each) for each in os.listdir(self.work_dir) if each.endswith(".log")]
        done = subprocess.run([os.path.join(ROOT, "tools", "trace"), name, *logs], capture_output=True, text=True,
                              check=False)
        return done.stdout

    def expect(self, text, *words):
        if not any(all(word in line for word in words) for line in text.splitlines()):
            self.checker.fail(f"no line with {words} in:\n{text}")

    async def run_checks(self):
        try:
            await self.cluster.start()
            if not await self.put_config(START_SECONDS):
                self.checker.fail("no configuration was accepted")
                return
            await asyncio.sleep(1)   # all workers register
            await self.explain_refused()
            await self.explain_late()
            await self.explain_failed()
            await self.read_metrics()
        finally:
            await self.cluster.stop()

    async def explain_refused(self):
        _, status = await self.submit(1, [WHOLE_WORKER], key="a key that no configuration held")
        if status != 401:
            self.checker.fail(f"an unknown key was answered with {status}")
        self.expect(self.trace("request-1"), "call-answered", "http=401", "reason=unknown key")

    async def explain_late(self):
        """Submits more jobs than the workers can run at once, so that the last job waits for another to end."""
        jobs = [(await self.submit(10 + number, [WHOLE_WORKER]))[0] for number in range(8)]
        for job in jobs:
            await self.wait_for(job, "completed")
        trace_output = self.trace(jobs[-1].id)
        self.expect(trace_output, "job-accepted")
        self.expect(trace_output, "run-placed", "reason=")
        placed = [line for line in trace_output.splitlines() if "run-placed" in line]
        if not placed or float(placed[0].split()[0]) < 0.5:
            self.checker.fail("the wait of the last job does not show:\n" + trace_output)

    async def explain_failed(self):
        job, _ = await self.submit(30, [WHOLE_WORKER], "fails by its own fault")
        await self.wait_for(job, "failed")
        trace_output = self.trace(job.id)
        self.expect(trace_output, "run-over", "kind=failed")
        self.expect(trace_output, "job-failed", "reason=")

    async def read_metrics(self):
        leaders = 0
        for process in self.cluster.entries:
            ip = process.command[process.command.index("--metrics") + 1].split(":")[0]
            answer = await http11.request((ip, 7090), "GET", "/metrics")
            text = answer[2].decode() if answer else ""
            leaders += "anvil_leads 1\n" in text
            if "anvil_policy_version" not in text:
                self.checker.fail(f"{process.name} serves no metrics")
            if "anvil_leads 1\n" in text:
                self.expect(text, "anvil_job_wait_seconds_count")
                self.expect(text, "anvil_runs_over_total", 'kind="failed"')
        if leaders != 1:
            self.checker.fail(f"{leaders} entries say that they lead")


def main():
    build_dir, work_dir = map(os.path.abspath, sys.argv[1:3])
    shutil.rmtree(work_dir, ignore_errors=True)
    os.makedirs(work_dir)
    test = ExplainTest(os.path.join(build_dir, "anvilwheel"), work_dir)
    asyncio.run(test.run_checks())
    for line in test.checker.violations:
        print(line)
    return 1 if test.checker.violations else 0


if __name__ == "__main__":
    sys.exit(main())
