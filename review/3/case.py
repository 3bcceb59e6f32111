"""The end of an evacuation waits in a frozen process and takes effect during the next evacuation of the zone."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import deployment  # pylint: disable=wrong-import-position
import wire  # pylint: disable=wrong-import-position

ZONE = deployment.ZONES[0]
FREEZE_S = 8.0
GAP_S = 4.0      # from the end of the first evacuation to the second one


async def order(system, what, first):
    """Sends an order as the operator does: to another node after a second without an answer."""
    for number in range(8):
        entry = system.entries[(first + number) % len(system.entries)]
        answer = await wire.request((entry.settings["Ip"], 8526), "POST", f"/Evacuate.{what}/{ZONE}", timeout=1.0)
        system.record(f"operator Evacuate.{what}/{ZONE} to {entry.name} -> {answer[0] if answer else 'no answer'}")
        if answer and answer[0] == 200:
            return system.record.now()
        await asyncio.sleep(0.1)
    raise deployment.CannotRun(f"Evacuate.{what} was not acknowledged")


async def keep_busy(system):
    """Hands in a job every second that takes all GPUs of the service for a second."""
    number = 0
    while True:
        number += 1
        step = {"Count": 4 * len(system.minions), "Cpu": 2000, "MemMb": 8000, "Gpu": 2, "EstimatedMs": 1000}
        # At the first entry, which is never frozen.
        await system.submit(f"{number:016x}", [step], tries=1)
        await asyncio.sleep(1.0)


async def case(system, record, trouble):
    if not await system.put_config(system.config(1)):
        raise deployment.CannotRun("no configuration was acknowledged")
    await system.wait_ready()
    while not all(each.leases for each in system.minions):
        await asyncio.sleep(0.1)
    await asyncio.sleep(4.0)
    frozen = len(system.entries) - 1     # has no disk, so the core stays stable
    traffic = asyncio.create_task(keep_busy(system))
    await order(system, "Start", 0)
    await asyncio.sleep(4.0)
    if trouble:
        record(f"{system.entries[frozen].name} freezes for {FREEZE_S} s")
        system.entries[frozen].popen.send_signal(signal.SIGSTOP)
    thaw_at = record.now() + FREEZE_S
    await order(system, "Finish", frozen)
    await asyncio.sleep(GAP_S)
    acknowledged = await order(system, "Start", 0)
    await asyncio.sleep(max(0.0, thaw_at - record.now()))
    if trouble:
        system.entries[frozen].popen.send_signal(signal.SIGCONT)
        record(f"{system.entries[frozen].name} wakes again")

    # Nobody takes the zone back from here on.
    bound = acknowledged + deployment.BOUNDS["EvacuationMs"] / 1000
    await asyncio.sleep(max(0.0, bound - record.now()))
    inside = [each for each in system.minions if each.zone == ZONE]
    known = {(each.name, task, run["run"]) for each in inside for task, run in each.runs.items()}
    broken, started = [], set()
    end = record.now() + 8
    while record.now() < end:
        for each in inside:
            for task, run in list(each.runs.items()):
                key = (each.name, task, run["run"])
                if key not in known and key not in started:
                    started.add(key)
                    if len(broken) < 3:
                        broken.append(f"EVAC: {task} started on {each.name} in {ZONE} "
                                      f"{record.now() - acknowledged:.1f} s after the ack of its evacuation")
        await asyncio.sleep(0.02)
    traffic.cancel()
    record(f"{len(started)} tasks started in the evacuated zone after EvacuationMs")
    return broken


deployment.main(case, __file__, entries=6, disks=3, minions=3)
