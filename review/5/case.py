"""A large gang waits for room that tasks that last hold; smaller jobs come after it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import deployment  # pylint: disable=wrong-import-position

LASTING, LARGE, SMALL = "0000000001a57196", "00000000001a96e0", "000000000005ba11"


def config(system):
    document = system.config(1)
    route = document["Routes"][0]
    document["Routes"] = [{**route, "Priority": 1},
                          {**route, "Name": "r-recon", "PathPrefix": "/recon/", "Priority": 2}]
    return document


async def case(system, record, trouble):
    if not await system.put_config(config(system)):
        raise deployment.CannotRun("no configuration was acknowledged")
    await system.wait_ready()
    while not all(each.leases for each in system.minions):
        await asyncio.sleep(0.1)
    count = len(system.minions)
    total = 8 * count

    # One lasting task of 2 GPU on each minion: a quarter of the service.
    step = {"Count": count, "Cpu": 2000, "MemMb": 8000, "Gpu": 2, "EstimatedMs": 1000, "LongRunning": True,
            "AntiAffinity": 1}
    if await system.submit(LASTING, [step], "/recon/") != 200:
        raise deployment.CannotRun("the lasting job was not accepted")
    for _ in range(100):
        if len(system.running(LASTING)) == count:
            break
        await asyncio.sleep(0.1)
    else:
        raise deployment.CannotRun("the lasting job did not start everywhere")
    await asyncio.sleep(4.0)

    if trouble:
        # Needs whole minions, which are there only when the lasting job is cancelled.
        step = {"Count": count, "Cpu": 26000, "MemMb": 140000, "Gpu": 8, "EstimatedMs": 8500, "Gang": True}
        if await system.submit(LARGE, [step], "/quote/") != 200:
            raise deployment.CannotRun("the large job was not accepted")
        await asyncio.sleep(1.0)

    step = {"Count": 2, "Cpu": 5600, "MemMb": 16000, "Gpu": 1, "EstimatedMs": 3000}
    if await system.submit(SMALL, [step], "/recon/") != 200:
        raise deployment.CannotRun("the small job was not accepted")
    accepted = record.now()
    idle_since, longest = record.now(), 0.0
    # finish_s after the end of the traffic jobs are asked for.
    while record.now() - accepted < 3 + deployment.BOUNDS["finish_s"] + 15:
        if await system.state(SMALL, "/recon/", quiet=True) == "completed":
            record(f"the small job is completed {record.now() - accepted:.1f} s after its ack")
            return []
        used = sum(each.gpu_used() for each in system.minions)
        if system.running(SMALL) or used * 2 >= total or total - used < 2 * 2:
            idle_since = record.now()
        longest = max(longest, record.now() - idle_since)
        await asyncio.sleep(0.25)
    state = await system.state(SMALL, "/recon/")
    if longest < 3:
        return []
    return [f"LOST: job {SMALL} (2 tasks of 1 GPU) was accepted, is {state}, and had nothing running for "
            f"{longest:.0f} s while {used} of {total} GPU were in use"]


deployment.main(case, __file__)
