"""An occurrence that is being added to the store while its series is cancelled runs on."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world import BOUNDS, STORE_MS, play

SLOW = 60  # `platform_slow`, `x = 60.0`, `for_s = 4.5` in the list `troubles` of the site
SLOW_S = 3.0
INTERVAL_MS = 1000
STEP = {"Count": 2, "Cpu": 500, "MemMb": 64, "EstimatedMs": 25000}
CONTACT_S, CANCEL_S = BOUNDS["ContactMs"] / 1000, (BOUNDS["cancel_ms"] + BOUNDS["StopMs"]) / 1000


async def scenario(world):
    start = int(time.time() * 1000) + 2000
    job = "5e00000000000001"
    status, _ = await world.submit(
        0, job, "ms=25000 cpu=500", [STEP], RepeatCount=30, StartAtMs=start, IntervalMs=INTERVAL_MS)
    if status != 200:
        raise RuntimeError(f"the series was not accepted: {status}")
    # The series is cancelled 0.12 s after its fourth occurrence has become due.
    cancel_at = start + 3 * INTERVAL_MS + 120
    await asyncio.sleep((cancel_at - 620) / 1000 - time.time())
    if world.trouble:
        world.store.delay_ms = STORE_MS * SLOW
        world.note("store-slow", ms=world.store.delay_ms)
    await asyncio.sleep(cancel_at / 1000 - time.time())
    slow = asyncio.create_task(asyncio.sleep(SLOW_S - 0.62))
    for _ in range(5):
        status = await world.cancel(0, job)
        acknowledged = time.monotonic()
        if status in (200, 410):
            break
        await asyncio.sleep(0.2)
    else:
        raise RuntimeError(f"the cancel was not acknowledged: {status}")
    await slow
    world.store.delay_ms = STORE_MS
    world.note("store-normal")
    await world.state(0, job)
    await world.state(1, job)
    # Nothing else goes wrong for ContactMs, and for cancel_ms + StopMs after that.
    await asyncio.sleep(CONTACT_S + CANCEL_S + 0.5)
    now, broken = time.monotonic(), []
    for executor in world.executors:
        for run in executor.runs.values():
            broken.append(
                f"UNASKED {run['task']} still runs on {executor.id}, {now - acknowledged:.2f} s after the cancelling of "
                f"{job} was acknowledged; it was started {run['at'] - acknowledged:+.2f} s from that")
    await world.state(0, job)
    await asyncio.sleep(25)
    for task, seen in world.tasks.items():
        for end in seen["ends"]:
            if end["how"] == "done":
                world.note("ran-to-its-end", task=task, after_cancel_s=f"{end['at'] - acknowledged:.2f}")
    return broken


play(HERE, scenario)
