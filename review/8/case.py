"""A job with times that is cancelled just when an occurrence is due must not go on running."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import world2  # noqa: E402

SERIES, WORK_MS = 80, 12000
# All of them are due at the same time, and are cancelled within this time around it. The platform sends a client to the same entry each time.
AROUND_S = (-0.05, 0.2)
# `cancel_ms` and `StopMs`, and the time that a list of this script may be behind.
GONE_S, SLACK_S = 3.05, 0.2


async def case(world):
    acknowledged, jobs = {}, [world.job_id() for _ in range(SERIES)]
    due = world.now() + 4.0
    due_ms = int((time.time() + due - world.now()) * 1000)
    for number, job in enumerate(jobs):
        await world.submit(number % 2, job, {
            "Spec": f"ms={WORK_MS} cpu=100",
            "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 16, "EstimatedMs": WORK_MS}],
            "RepeatCount": 2, "StartAtMs": due_ms, "IntervalMs": 60000,
        })

    async def cancel(number, job):
        await asyncio.sleep(due + world.rng.uniform(*AROUND_S) - world.now())
        status, _ = await world.client(number % 2, "DELETE", job)
        if status // 100 == 2:
            acknowledged[job] = world.now()

    if world.now() > due - 0.2:
        raise world2.CannotRun("the jobs were accepted too late")
    if world.trouble:
        await asyncio.gather(*(cancel(number, job) for number, job in enumerate(jobs)))
    await asyncio.sleep(max(0.0, due + 1.0 - world.now()))
    if not world.trouble and len(world.runs) < SERIES:
        raise world2.CannotRun(f"only {len(world.runs)} occurrences have begun")
    await asyncio.sleep(GONE_S + SLACK_S + 0.5)
    broken = []
    for job, at in acknowledged.items():
        limit = at + GONE_S + SLACK_S
        for run in world.of_job(job):
            if run["start"] < limit < (run["end"] or world.now()):
                broken.append(f"UNASKED: {run['task']} ran on {(run['end'] or world.now()) - at:.2f} s after "
                              f"the cancelling of its job was acknowledged (run begun {run['start'] - at:+.3f} s)")
    world.note("cancels", acknowledged=len(acknowledged), broken=len(broken))
    shown = {}
    for job in acknowledged:
        status, content = await world.client(0, "GET", job, quiet=True)
        word = content["State"] if content else status
        shown[word] = shown.get(word, 0) + 1
    world.note("states of the cancelled jobs", shown=shown)
    return broken


world2.play(case, __file__, entries=2, executors=4)
