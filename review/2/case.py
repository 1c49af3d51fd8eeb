"""Minions that reset the channels of their calls for two seconds each."""

import asyncio
import os
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import checks  # noqa: E402
from standins import Fleet, job, run_case, step  # noqa: E402

ENTRIES, MINIONS = 3, 7
JOBS, WORK_MS = 6, 15_000
RESETS, RESET_S = 3, 2.0


async def main(record, has_trouble):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, record, entries=ENTRIES, agents=MINIONS)
        try:
            return await play(fleet, record, has_trouble)
        finally:
            fleet.stop()


async def play(fleet, record, has_trouble):
    await fleet.start()
    await fleet.store_first_job()
    ids = [f"{0xc0 + number:016x}" for number in range(JOBS)]
    for number, job_id in enumerate(ids):
        body = job([step(1, cpu=2000, est=WORK_MS)], f"ms={WORK_MS}")
        status, _ = await fleet.entries[number % ENTRIES].request("POST", f"/lohu930/{job_id}", body)
        if status != 200:
            return 2
    await asyncio.sleep(1)
    task, host = f"{ids[0]}.0.0.0", None

    async def is_running():
        nonlocal host
        host = next((h for h in fleet.agents if task in h.minion.call("runs")), None)
        return host is not None

    for _ in range(RESETS if has_trouble else 0):
        try:
            await fleet.until("a run of the task", is_running, 5)
        except TimeoutError:
            break
        await asyncio.sleep(0.2)
        host.minion.call("reset", True)
        record(f"the minion of {host.name} resets the channels of its calls from now on")
        await asyncio.sleep(RESET_S)
        host.minion.call("reset", False)
        record(f"the minion of {host.name} answers again")

    states = {}

    async def have_ended():
        for job_id in ids:
            _, text = await fleet.entries[0].request("GET", f"/lohu930/{job_id}")
            states[job_id] = text.decode()
        return all("completed" in state or "failed" in state for state in states.values())

    await fleet.until("the end of all jobs", have_ended, 60)
    ends = [run for of_task in checks.runs_of(fleet.seen()).values() for run in of_task]
    failed_runs = sum(run.how == "failed" for run in ends)
    failed_jobs = [job_id for job_id, state in states.items() if "failed" in state]
    # No minion ends in this test, and a failed job needs two failed runs of a task.
    broken = bool(failed_jobs) and failed_runs == 0
    lapsed = sum(run.how == "lapsed" for run in ends)
    text = (f"jobs {JOBS}, shown as failed {len(failed_jobs)}; runs that ended failed {failed_runs}, lapsed {lapsed}; "
            f"minions that crashed 0; LOST {'is broken' if broken else 'holds'}")
    record(text)
    print(text)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main, HERE))
