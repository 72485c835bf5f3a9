"""A worker drains while discovery is silent: the front end goes on sending new work to it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import sites
import standins
from standins import SLACK, Coordinator, FrontEnd, NotRun, Worker, hex_name

SORT, TTL = "stamp", 7000
WORKERS = 11
#: What a silent coordinator would have told counts as told this long after it fell silent (protocol page), in seconds.
TOLD_AFTER = 4.0
#: `Rules.DrainGrace` of the settings, in seconds.
GRACE = 2.5


async def case(record, trouble):
    settings = sites.ba_na_archive()
    workers = [Worker(record, f"s-{index:08x}", "hill", work=0.06, load=1.2) for index in range(WORKERS)]
    for worker in workers:
        await worker.start()
    coordinator = Coordinator(record)
    coordinator.publish([worker.host() for worker in workers], whole=True)
    await coordinator.start()
    front_end = FrontEnd(record, coordinator, settings)
    functions = [hex_name() for _ in range(8)]
    pending = []

    async def calls(client):
        while True:
            for function in functions:
                pending.append(asyncio.ensure_future(client.call(SORT, function, ttl=TTL)))
                await asyncio.sleep(0.05)

    try:
        client = await front_end.start()
        sending = asyncio.ensure_future(calls(client))
        await asyncio.sleep(5)
        silent_at = record.now()
        if trouble:
            record.add("coordinator", "silent")
            coordinator.silent = True
        await asyncio.sleep(1)
        drained = max(workers, key=lambda worker: len(worker.arrived))
        drained.draining = True
        drained_at = coordinator.publish([drained.host("DRAINING")])
        told = max(drained_at, silent_at + TOLD_AFTER) if trouble else drained_at
        record.add("test", "told", worker=drained.name, at=f"{told:.3f}", until=f"{told + GRACE:.3f}")
        await asyncio.sleep(told + GRACE + 5 - record.now())
        sending.cancel()
        await asyncio.wait(pending, timeout=3)
    finally:
        await front_end.stop()
    if not drained.arrived:
        raise NotRun("the worker got no call at all")
    late = [at for at, _, _ in drained.arrived if at > told + GRACE + SLACK]
    if not late:
        return []
    return [f"{drained.name} drains since {drained_at:.3f} s, which counts as told at {told:.3f} s; with the grace of "
            f"{GRACE} s nothing new may come after {told + GRACE:.3f} s, but {len(late)} calls did, the last at "
            f"{late[-1]:.3f} s"]


if __name__ == "__main__":
    standins.main(case, FOLDER)
