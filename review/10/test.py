"""Discovery breaks off in the middle of a drain's event, is asked again at once, answers, and stops."""

import asyncio
import os
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import sites
import standins
from standins import SLACK, Coordinator, FrontEnd, NotRun, Worker, hex_name

SORTS, TTL = ("roster-view", "visit-assign"), 5000
WORKERS = 12
#: `Rules.DrainGrace` of the settings, in seconds.
GRACE = 1.0
#: How exact the times of the stand-ins are, in seconds.
ACCURACY = 0.1
#: How long discovery says nothing after it was asked again, in seconds.
STOP = 3.5


class StoppingCoordinator(Coordinator):
    """Breaks off in the middle of an event; asked again, it sends the head of its answer and nothing more for a while."""

    def __init__(self, record):
        super().__init__(record)
        self.stopping = False
        self.asked = []

    def break_off(self, hosts):
        """Adds an event; each open stream gets half of it and is closed."""
        streams, self.streams = list(self.streams), set()
        at = self.publish(hosts)
        text = self.text(self.events[-1])
        self.stopping = True
        for writer in streams:
            writer.write(text[:len(text) // 2])
            writer.close()
        self.record.add("coordinator", "breaks-off", streams=len(streams))
        return at

    async def serve(self, reader, writer):
        if not self.stopping:
            return await super().serve(reader, writer)
        try:
            while await reader.readline() not in (b"\r\n", b""):
                pass
            self.asked.append(self.record.add("coordinator", "asked", answers="the head alone"))
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n")
            await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def case(record, trouble):
    workers = [Worker(record, f"s-{index:08x}", "building-a", work=0.05, load=0.3) for index in range(WORKERS)]
    for worker in workers:
        await worker.start()
    coordinator = StoppingCoordinator(record)
    coordinator.publish([worker.host() for worker in workers], whole=True)
    await coordinator.start()
    front_end = FrontEnd(record, coordinator, sites.lien_chieu_campus())
    functions = [hex_name() for _ in range(12)]
    pending = []

    async def calls(client):
        while True:
            for function in functions:
                for sort in SORTS:
                    pending.append(asyncio.ensure_future(client.call(sort, function, ttl=TTL)))
                    await asyncio.sleep(0.012)

    try:
        client = await front_end.start()
        sending = asyncio.ensure_future(calls(client))
        await asyncio.sleep(4.5)
        drained = max(workers, key=lambda worker: len(worker.arrived))
        drained.draining = True
        if trouble:
            coordinator.break_off([drained.host("DRAINING")])
            await asyncio.sleep(0.5)
            if not coordinator.asked:
                raise NotRun("the front end did not ask again")
            told = coordinator.asked[0]
        else:
            told = coordinator.publish([drained.host("DRAINING")])
        record.add("test", "told", worker=drained.name, at=f"{told:.3f}", until=f"{told + GRACE:.3f}")
        await asyncio.sleep(told + STOP - record.now())
        coordinator.stopping = False
        await asyncio.sleep(1)
        sending.cancel()
        await asyncio.wait(pending, timeout=3)
    finally:
        await front_end.stop()
    late = [at for at, _, _ in drained.arrived if at > told + GRACE + SLACK + ACCURACY]
    if not late:
        return []
    return [f"{drained.name} drains, which counts as told since discovery was asked again at {told:.3f} s; with the grace of {GRACE} s "
            f"nothing new may come after {told + GRACE:.3f} s, but {len(late)} calls did, the last at {late[-1]:.3f} s"]


if __name__ == "__main__":
    standins.main(case, FOLDER, max_lag=ACCURACY)
