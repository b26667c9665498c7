"""A kept task runs once at a time also when its executor answers no calls for a moment while a run of it fails."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import world2  # noqa: E402

# Two of eight executors are of kind b, which the jobs require; the others stand idle.
KINDS, CPU = ("b", "a", "a", "a"), 6000
PLAY_S = 85.0
# Kept jobs of four tasks, as many as the two can do; one in twenty can never be done, as `poison` has it.
TASK_MS, COUNT, HOPELESS, JOBS_PER_S = 1500, 4, 0.05, 1.5
# `srv_grey`, mute: one of the eight carries out calls and answers none, for 1.0 to 1.3 s, now and then.
MUTE_S, GAP_S = (1.0, 1.3), 2.2


async def case(world):
    end = world.now() + PLAY_S
    accepted = []

    async def one(number):
        job = world.job_id()
        fails = " fail" if world.rng.random() < HOPELESS else ""
        status, _ = await world.client(number % 2, "POST", job, {
            "Spec": f"ms={TASK_MS} cpu=1000{fails}",
            "Steps": [{"Count": COUNT, "Cpu": 1000, "MemMb": 16, "EstimatedMs": TASK_MS, "RequiredLabel": "b"}],
        }, quiet=True)
        accepted.append(status // 100 == 2)

    async def mute(executor):
        while world.now() < end:
            silent = world.rng.uniform(*MUTE_S)
            await asyncio.sleep(GAP_S - silent)
            executor.mute = True
            world.note("executor mute", executor=executor.index)
            await asyncio.sleep(silent)
            executor.mute = False
            world.note("executor answers", executor=executor.index)

    muting = [asyncio.ensure_future(mute(world.executors[0]))] if world.trouble else []
    number, clients = 0, []
    while world.now() < end:
        clients.append(asyncio.ensure_future(one(number)))
        number += 1
        await asyncio.sleep(1.0 / JOBS_PER_S)
    await asyncio.gather(*clients, *muting)
    await asyncio.sleep(8.0)
    world.note("jobs", sent=number, accepted=sum(accepted), runs=len(world.runs))
    if sum(accepted) < 0.5 * number:
        raise world2.CannotRun("less than half of the jobs were accepted")
    return world.overlaps()


world2.play(case, __file__, entries=2, executors=8, cpu=CPU, kinds=KINDS)
