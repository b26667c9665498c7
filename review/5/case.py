"""A failure that the store has is counted again by the next owner of the job, which is then shown as failed."""

import asyncio
import base64
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world import play

ATTEMPTS = 2  # `MaxAttempts` of the route
STEP = {"Count": 4, "Cpu": 500, "MemMb": 64, "EstimatedMs": 400}
STATES, JOBS = "fulmarpond/state/", "fulmarpond/job/"


async def scenario(world):
    killed = asyncio.Event()

    def kill_writer(connection, txn):
        """Kills entry 1 when it has written to the store under a condition: it is the last that did.

        It does so at the first write for a job whose tasks have all failed once."""
        values = {row["Key"]: base64.b64decode(row["Value"]) for row in txn["Writes"]}
        changed = [key for key in values if key.startswith(STATES) and key.replace(STATES, JOBS) not in values]
        changed = [key.removeprefix(STATES) for key in changed if b"entry-1" in values[key]]
        if any(map(has_failed, changed)) and not killed.is_set():
            world.note("written", jobs=",".join(changed))
            world.kill("entry-1")
            killed.set()

    def has_failed(job):
        """Whether runs of the job have failed, and no end of them is taken note of yet."""
        ends = [end for task, seen in world.tasks.items() if task.startswith(job) for end in seen["ends"]]
        return len(ends) == STEP["Count"] and all(end["how"] == "failed" and not end["noted"] for end in ends)

    jobs = []
    for number in range(120):
        if number == 80 and world.trouble:
            world.store.on_txn = kill_writer
        if killed.is_set():
            break
        # The first run of each task fails after 0.1 s by its own fault, the second one is done after 0.4 s.
        job = f"f{number:015x}"
        status, _ = await world.submit(0, job, "ms=400 failms=100 fail=1 cpu=500", [STEP], wait=1.0)
        jobs.append((job, status))
        await asyncio.sleep(0.04)
    if killed.is_set():
        await asyncio.sleep(0.5)
        world.launch("entry-1")
    await asyncio.sleep(14)
    broken = []
    for job, status in jobs:
        if status != 200:
            continue
        state = await world.state(1, job)
        ends = {task: [end["how"] for end in seen["ends"]] for task, seen in world.tasks.items() if task.startswith(job)}
        most = max(hows.count("failed") for hows in ends.values()) if ends else 0
        if state == "failed" and most < ATTEMPTS:
            broken.append(f"LOST {job} is shown as failed, no task has more than {most} of {ATTEMPTS} ends failed: {ends}")
    return broken


play(HERE, scenario)
