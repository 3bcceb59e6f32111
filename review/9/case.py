"""One version of the configuration removes a route, and the next adds one with the same host and prefix."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import deployment as d  # noqa: E402

STEP_MS = 2500
STEPS = 8
SHORT, LONG = 4, 4     # jobs that only have to be shown, and jobs that are cancelled


async def hand_in(system, number, steps):
    job = d.new_id()
    chain = [d.one_task(STEP_MS, 500, **({"DependsOn": [each - 1]} if each else {})) for each in range(steps)]
    answer = await system.call("POST", number % 5, job, d.job_of(STEP_MS, chain, 500))
    if not answer or answer[0] != 200:
        raise d.CannotRun("a job was not accepted")
    return job


async def play(system, trouble):
    other = ("q-other", "/other/")
    await system.start_and_configure([("q-1", d.PREFIX), other])
    short = [await hand_in(system, number, 2) for number in range(SHORT)]
    long = [await hand_in(system, number, STEPS) for number in range(LONG)]
    await asyncio.sleep(1)
    if trouble:
        for routes in ([other], [("q-2", d.PREFIX), other]):
            if not await system.put_config(routes, 4):
                raise d.CannotRun("a version was not acknowledged")
            await asyncio.sleep(1)
    await asyncio.sleep(d.BOUNDS["visible_ms"] / 1000)

    broken, cancelled = [], {}
    for number, job in enumerate(short):
        answer = await system.call("GET", number % 5, job)
        if answer and answer[0] == 410:
            broken.append(f"LOST: job {job} was accepted and is answered 410")
    for number, job in enumerate(long):
        answer = await system.call("DELETE", number % 5, job)
        if answer and (answer[0] < 300 or answer[0] == 410):
            cancelled[job] = (time.monotonic(), answer[0])
    await asyncio.sleep(STEPS * STEP_MS / 1000 + 2)
    for minion in system.minions:
        for at, task, run, _ in minion.starts:
            acked, status = cancelled.get(task.split(".")[0], (None, None))
            if acked and at > acked + d.BOUNDS["cancel_ms"] / 1000:
                broken.append(f"UNASKED: run {run} of {task} starts on {minion.name} {at - acked:.3f} s after its "
                              f"job's cancelling was acknowledged with {status}")
    return broken


if __name__ == "__main__":
    d.main(FOLDER, play)
