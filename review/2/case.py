"""Accepted jobs are never run while 25 older ones wait for an executor that is lost for good."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world import BOUNDS, play

# 7 executors of kind a and one of kind b, as in the site file, in three racks.
LABELS = [["a", "r1-1"]] * 3 + [["a", "r1-2"]] * 3 + [["a", "r1-3"], ["b", "r1-3"]]
CPU = 8000
SPECIAL = {"Count": 1, "Cpu": 2000, "MemMb": 64, "EstimatedMs": 2000, "RequiredLabel": "b"}
PLAIN = {"Count": 4, "Cpu": 2000, "MemMb": 64, "EstimatedMs": 1000}
IDLE_S = 3  # LOST: "for 3 s, a job has nothing running while a task's turn has come"


async def scenario(world):
    plain, special = [], []
    # Jobs that only executors of kind b can run: 20 s of work for the one that is there.
    for number in range(40):
        job = f"b{number:015x}"
        status, _ = await world.submit(0, job, "ms=2000 cpu=2000", [SPECIAL])
        special.append((job, status))
    await asyncio.sleep(1)
    if world.trouble:
        world.note("crash", executor=world.executors[7].id)
        world.executors[7].crash()
    await asyncio.sleep(3)
    # Many jobs at once that any executor can run: some have to wait for room.
    for number in range(30):
        job = f"a{number:015x}"
        status, _ = await world.submit(0, job, "ms=1000 cpu=2000", [PLAIN])
        plain.append((job, status))
    # The traffic ends here; finish_s later jobs are asked for.
    await asyncio.sleep(BOUNDS["finish_s"] + IDLE_S + 1)
    now, broken = time.monotonic(), []
    busy = sum(run["cpu"] for executor in world.executors for run in executor.runs.values())
    room = sum(executor.cpu for executor in world.executors if executor.is_up)
    last = max(start[0] for seen in world.tasks.values() for start in seen["starts"])
    world.note("use", busy=busy, room=room, last_start_s_ago=f"{now - last:.1f}")
    for job, status in plain:
        if status != 200:
            continue
        state = await world.state(0, job)
        seen = [seen for task, seen in world.tasks.items() if task.startswith(job)]
        latest = max([end["at"] for task in seen for end in task["ends"]], default=0)
        is_idle = now - latest > IDLE_S and busy == 0 and now - last > IDLE_S
        if state in ("pending", "running") and is_idle and busy * 2 < room:
            broken.append(
                f"LOST {job} was accepted and is {state}: {len(seen)} of its 4 tasks were ever started, {busy} of {room} "
                f"thousandths of a core are in use, nothing was started for {now - last:.1f} s")
    for job, status in special:
        await world.state(0, job)
    return broken


play(HERE, scenario, executors=8, cpu=CPU, labels=LABELS)
