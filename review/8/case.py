"""Consumers leave while the core elects a leader, and cancel what they handed in."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import deployment as d  # noqa: E402

JOBS = 60
LEAVERS = 20      # a third of the consumers; the site has a share of 0.35
LEAVE_S = 0.4     # a consumer leaves after this time without an answer; half of TargetLatencyMs is 0.5 s
DOWN_S = 1.0      # the killed process is back after this time
STEP_MS = 3000
STEPS = 5


async def consume(system, number, entries, cancelled):
    """Hands a job in, leaves, and cancels it at another entry; notes when the cancelling was acknowledged."""
    job = d.new_id()
    steps = [d.one_task(STEP_MS, 500, **({"DependsOn": [each - 1]} if each else {})) for each in range(STEPS)]
    first, second = entries[number % len(entries)], entries[(number + 1) % len(entries)]
    if number >= LEAVERS:
        await system.call("POST", first, job, d.job_of(200, [d.one_task(200, 500)], 500))
        return
    await system.call("POST", first, job, d.job_of(STEP_MS, steps, 500), timeout=LEAVE_S)
    answer = await system.call("DELETE", second, job)
    if answer and (answer[0] < 300 or answer[0] == 410):
        cancelled[job] = (time.monotonic(), answer[0])


async def play(system, trouble):
    await system.start_and_configure([("q", d.PREFIX)])
    await asyncio.sleep(4)
    leader = await system.leader()
    if not leader:
        raise d.CannotRun("no leader was found")
    entries = [number for number in range(5) if system.entries[number] is not leader]
    calm_from = time.monotonic()
    if trouble:
        leader.popen.send_signal(signal.SIGKILL)
        leader.popen.wait()
        system.record(f"{leader.name}, which leads, is killed")
    cancelled = {}
    consumers = [asyncio.create_task(consume(system, number, entries, cancelled)) for number in range(JOBS)]
    if trouble:
        await asyncio.sleep(DOWN_S)
        leader.start()
        system.record(f"{leader.name} is started")
        # ContactMs after the last such event, calm machines are in touch.
        calm_from = time.monotonic() + d.BOUNDS["ContactMs"] / 1000
    await asyncio.gather(*consumers)
    await asyncio.sleep(STEPS * STEP_MS / 1000 + 6)

    system.record(f"{len(cancelled)} cancels were acknowledged")
    broken = []
    for minion in system.minions:
        for at, task, run, _ in minion.starts:
            acked, status = cancelled.get(task.split(".")[0], (None, None))
            if acked and at > acked + d.BOUNDS["cancel_ms"] / 1000 and at > calm_from:
                broken.append(f"UNASKED: run {run} of {task} starts on {minion.name} {at - acked:.3f} s after its "
                              f"job's cancelling was acknowledged with {status}")
    return broken


if __name__ == "__main__":
    d.main(FOLDER, play)
