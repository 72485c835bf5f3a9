"""A keyed call is sent again after the time in which the workers drop its repeats."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import sites
import standins
from standins import SLACK, Coordinator, FrontEnd, NotRun, Worker, hex_name

SORT, TTL, WINDOW = "scan-page", 9000, 8.0
UNKEYED_SORT, UNKEYED_TTL = "stamp", 7000
WORKERS = 14
#: How many calls the front end may have open at one worker: it has six connections of four streams each to it.
FILL = 30
#: A worker has the memory for all copies that the calls need at a time.
SMALL = "memory_mb:1200;lanes:4"
#: How exact the times of the stand-ins are, in seconds; a send that is later by no more is not counted.
ACCURACY = 0.2
#: When the burst begins and when the first worker dies, in seconds after the call.
BURST, DEATH = 6.75, 7.75


async def case(record, trouble):
    settings = sites.ba_na_archive()
    workers = [Worker(record, f"s-{index:08x}", "hill", work=0.06, load=1.7) for index in range(WORKERS)]
    for worker in workers:
        await worker.start()
    # Which worker each function goes to first, with all workers and without the first one's worker.
    functions = [hex_name() for _ in range(600)]
    for worker in workers:
        worker.load = 0.01
    first = await standins.first_workers(record, settings, workers, functions, SORT, TTL)
    primary = max(workers, key=lambda worker: sum(w is worker for w in first.values()))
    others = [worker for worker in workers if worker is not primary]
    of_primary = [function for function in functions if first.get(function) is primary]
    second = await standins.first_workers(record, settings, others, of_primary, SORT, TTL)
    count = {worker: sum(w is worker for w in first.values()) for worker in others}
    secondary = max(set(second.values()), key=lambda worker: count[worker])
    main = next(function for function in of_primary if second.get(function) is secondary)
    once = [function for function in functions if first.get(function) is secondary]
    usual, warm, once = once[0], once[1:9], once[9:9 + FILL]
    if len(once) < FILL:
        raise NotRun("too few functions go to one worker first")
    record.add("test", "roles", first=primary.name, second=secondary.name, function=main)

    effects = {}
    for worker in workers:
        worker.load = 1.7
        worker.loaded.clear()
        worker.arrived.clear()
        worker.on_run = lambda worker, call, sort, key: run(record, effects, worker, call, key)
    coordinator = Coordinator(record)
    coordinator.publish([worker.host() for worker in others], whole=True)
    await coordinator.start()
    front_end = FrontEnd(record, coordinator, settings)
    try:
        client = await front_end.start()

        def call(function, name=None):
            name = name or hex_name()
            return asyncio.ensure_future(client.call(SORT, function, ttl=TTL, key="k" + name, name=name, props=SMALL))

        def call_unkeyed(function):
            return asyncio.ensure_future(client.call(UNKEYED_SORT, function, ttl=UNKEYED_TTL, props=SMALL))

        # Usual calls: the second worker has the functions loaded and runs several calls at a time.
        await asyncio.wait([call(function) for function in [main, *warm]])
        for _ in range(4):
            await call_unkeyed(usual)
        for _ in range(70):
            await call(main)
        for _ in range(8):
            await asyncio.wait([call(function) for function in [main, *warm]])
        # A deploy adds a worker, to which the function goes first from now on.
        primary.born_ms = int(time.time() * 1000)
        coordinator.publish([primary.host()])
        await asyncio.sleep(0.2)

        # The new worker takes a call, runs it and hangs; it dies 7.75 s later.
        start = record.now()
        name = hex_name()
        primary.hung = trouble
        kept = [call(main, name)]
        await asyncio.sleep(start + BURST - record.now())
        # Calls of functions that are wanted only once: each waits for a load at the second worker.
        kept += [call_unkeyed(function) for function in once]
        await asyncio.sleep(start + DEATH - record.now())
        if trouble:
            primary.die()
        await asyncio.wait(kept, timeout=12)
    finally:
        await front_end.stop()
    return check(workers, name)


def run(record, effects, worker, call, key):
    """Workers drop repeats of a key for 8 s from when the first one arrived; after that a repeat takes effect again."""
    if key is None:
        return record.add(worker.name, "ran", call=call)
    now = record.now()
    arrived = min(at for at, other, _ in worker.arrived if other == call)
    if now - effects.get(key, -WINDOW) < WINDOW:
        record.add(worker.name, "dropped", call=call, key=key)
        return
    again = key in effects
    effects[key] = arrived
    record.add(worker.name, "took effect", call=call, key=key, **({"again": True} if again else {}))


def check(workers, name):
    """A keyed call may be sent again only while the workers remember it: 8 s from the first time that it was sent."""
    breaks = []
    arrivals = {}
    for worker in workers:
        for at, call, _ in worker.arrived:
            arrivals.setdefault(call, []).append((at, worker.name))
    seen = arrivals.get(name, [])
    if not seen:
        raise NotRun("the call did not arrive at a worker")
    for call, times in [(name, sorted(seen))]:
        for at, worker in times[1:]:
            late = at - times[0][0]
            if late > WINDOW + SLACK + ACCURACY:
                breaks.append(f"call {call} arrived at {times[0][1]} at {times[0][0]:.3f} s and got no answer there; "
                              f"it was sent again to {worker} {late:.3f} s later")
    return breaks


if __name__ == "__main__":
    standins.main(case, FOLDER, max_lag=ACCURACY)
