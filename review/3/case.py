"""A minion with a slow clock carries out calls and leaves them unanswered for three seconds."""

import asyncio
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import checks  # noqa: E402
from standins import Fleet, job, run_case, step  # noqa: E402

ENTRIES, MINIONS = 3, 7
ROUNDS, JOBS, TASKS, WORK_MS = 5, 14, 4, 3_000
# The minions' clocks are 2% slow.
RATE = 0.98
MUTE_S = 3.0


async def main(record, has_trouble):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, record, entries=ENTRIES, agents=MINIONS, rate=RATE)
        try:
            return await play(fleet, record, has_trouble)
        finally:
            fleet.stop()


async def play(fleet, record, has_trouble):
    await fleet.start()
    await fleet.store_first_job()
    accepted = 0
    for turn in range(ROUNDS):
        ids = [f"{turn + 1:08x}{number:08x}" for number in range(JOBS)]
        for number, job_id in enumerate(ids):
            body = job([step(TASKS, est=WORK_MS)], f"ms={WORK_MS}")
            status, _ = await fleet.entries[number % ENTRIES].request("POST", f"/lohu930/{job_id}", body)
            accepted += status == 200
        await asyncio.sleep(0.5)
        host = fleet.agents[turn % MINIONS]
        if has_trouble:
            running = host.minion.call("mute", True)
            record(f"the minion of {host.name} leaves calls unanswered from now on; it has {running} runs")
        await asyncio.sleep(MUTE_S)
        if has_trouble:
            host.minion.call("mute", False)
            record(f"the minion of {host.name} answers again")

        async def have_ended():
            for job_id in ids:
                if b"completed" not in (await fleet.entries[0].request("GET", f"/lohu930/{job_id}"))[1]:
                    return False
            return True

        await fleet.until("the end of all jobs", have_ended, 15)
    if accepted < ROUNDS * JOBS * 0.9:
        return 2
    runs = checks.runs_of(fleet.seen())
    overlaps = checks.overlaps(runs, time.monotonic())
    for task, earlier, later, overlap_ms in overlaps:
        record(f"two runs at once for {overlap_ms:.1f} ms: {task}: run {earlier.number} on {earlier.host} ended "
               f"({earlier.how}) after run {later.number} began on {later.host}")
    lapsed = sum(run.how == "lapsed" for of_task in runs.values() for run in of_task)
    longest = max((overlap[3] for overlap in overlaps), default=0.0)
    text = (f"jobs {accepted}, lapsed runs {lapsed}, tasks with two runs at once {len(overlaps)}, "
            f"longest {longest:.1f} ms; TWICE {'is broken' if overlaps else 'holds'}")
    record(text)
    print(text)
    return 1 if overlaps else 0


if __name__ == "__main__":
    sys.exit(run_case(main, HERE))
