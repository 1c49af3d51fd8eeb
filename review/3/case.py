"""A job that need not be stored is cancelled through an entry that was added meanwhile."""

import asyncio
import os
import sys
import tempfile
import time
import zlib

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import checks  # noqa: E402
from standins import Fleet, job, run_case, step  # noqa: E402

WORK_MS, STEPS, TIMEOUT_MS = 2_000, 5, 20_000
# Bounds of the site.
CANCEL_MS, STOP_GRACE_MS = 3_000, 50


def node_of(client, nodes):
    """The entry to which the platform forwards a new channel of a client."""
    return nodes[zlib.crc32(client.encode()) % len(nodes)]


def moving_client():
    """A client whose new channels go to the second entry once there are two."""
    names = (f"client-{number}" for number in range(100))
    return next(name for name in names if node_of(name, [0, 1]) == 1)


async def main(record, has_trouble):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, record, entries=2, agents=3, zones=["selfoss-hall"], timeout_ms=TIMEOUT_MS)
        try:
            return await play(fleet, record, has_trouble)
        finally:
            fleet.stop()


async def play(fleet, record, has_trouble):
    first, added = fleet.entries
    fleet.entries = nodes = [first]
    await fleet.start()
    client, path = moving_client(), "/lohu930/00000000000000b1"
    headers = {"Gannetvane-Timeout-Ms": str(TIMEOUT_MS)}
    steps = [step(2, est=WORK_MS)] + [step(2, est=WORK_MS, after=[number]) for number in range(STEPS - 1)]
    body = job(steps, f"ms={WORK_MS}", best_effort=True)
    post = asyncio.ensure_future(
        node_of(client, nodes).request("POST", path, body, headers, TIMEOUT_MS / 1000 + 1))

    async def has_started():
        return fleet.counts()[0] > 0

    await fleet.until("the first start", has_started, 5)
    if has_trouble:
        fleet.entries = nodes = [first, added]
        added.start()
        await fleet.until("the added entry is ready", fleet.is_ready, 10)
        record(f"{added.name} was added and is ready")
    await asyncio.sleep(1)
    status, _ = await node_of(client, nodes).request("DELETE", path, b"", headers, 5)
    acked = time.monotonic()
    if status not in (200, 410):
        return 2
    await asyncio.wait([post], timeout=TIMEOUT_MS / 1000)
    await asyncio.sleep(1)
    runs = [run for of_task in checks.runs_of(fleet.seen()).values() for run in of_task]
    late_starts = [run.start - acked for run in runs if run.start > acked + CANCEL_MS / 1000]
    limit = acked + (CANCEL_MS + STOP_GRACE_MS) / 1000
    late_runs = [run for run in runs if run.end is None or run.end > limit]
    text = (f"the cancel was answered with {status}; tasks started over {CANCEL_MS} ms later: {len(late_starts)}, the last "
            f"{max(late_starts, default=0):.1f} s; tasks at work over {CANCEL_MS + STOP_GRACE_MS} ms later: {len(late_runs)}; "
            f"UNASKED {'is broken' if late_starts else 'holds'}")
    record(text)
    print(text)
    return 1 if late_starts else 0


if __name__ == "__main__":
    sys.exit(run_case(main, HERE))
