"""Consumers use a route at the moment at which a new version of the configuration adds it."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import deployment as d  # noqa: E402

CHANGES = 120
CONSUMERS = 10
CHANGES_END_S = 75   # on a slow machine there are fewer changes


async def play(system, trouble):
    base = [("q-base", d.PREFIX)]
    added = [(f"q-new-{number}", f"/new-{number}/") for number in range(CHANGES)]
    await system.start_and_configure(base if trouble else base + added)
    accepted = []   # (job, prefix, entry, time of the ack)

    async def consume(name, prefix, until):
        """Hands one job in, again and again until it is accepted."""
        job, entry = d.new_id(), name % 5
        while time.monotonic() < until[0]:
            answer = await system.call("POST", entry, job, d.job_of(100, [d.one_task(100, 100)], 100), prefix,
                                       counted=(404,))
            if answer and answer[0] == 200:
                accepted.append((job, prefix, entry, time.monotonic()))
                return
            await asyncio.sleep(0.002)

    begin = time.monotonic()
    for number in range(CHANGES):
        if time.monotonic() > begin + CHANGES_END_S:
            break
        until = [time.monotonic() + 5]
        consumers = [asyncio.create_task(consume(name, added[number][1], until)) for name in range(CONSUMERS)]
        await asyncio.sleep(0.1)
        if trouble and not await system.put_config(base + added[:number + 1], 4):
            raise d.CannotRun("a version was not acknowledged")
        until[0] = time.monotonic() + 1
        await asyncio.gather(*consumers)
        await asyncio.sleep(0.1)
    system.record(f"{len(accepted)} jobs were accepted; answers that are not listed, by status: {system.counts}")
    await asyncio.sleep(d.BOUNDS["visible_ms"] / 1000 + 0.5)

    broken = []
    for job, prefix, entry, acked in accepted:
        answer = await system.call("GET", (entry + 1) % 5, job, prefix=prefix)
        if answer and answer[0] == 410:
            broken.append(f"LOST: job {job} was accepted with 200 at {acked - system.record.begin:.3f} s and is answered "
                          f"410 at {time.monotonic() - system.record.begin:.3f} s; starts of its task: "
                          f"{sum(task.startswith(job) for minion in system.minions for _, task, _, _ in minion.starts)}")
    return broken


if __name__ == "__main__":
    d.main(FOLDER, play)
