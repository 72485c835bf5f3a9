"""Bad clients that send half a request on hundreds of connections make the front end exceed its memory limit."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import sites
import standins
from standins import Coordinator, FrontEnd, Worker, hex_name

SORT, TTL = "stamp", 7000
WORKERS = 11
#: The work of a call, and how many calls a worker runs at a time for this front end: the site is overloaded.
WORK, SLOTS = 0.085, 1
MEMORY_MB, DESCRIPTORS = 32, 1024
#: Usual calls a second, and the bytes of their bodies: at most 170 and 16 KiB by the pages.
RATE, BODY, FUNCTIONS = 170, 16 << 10, 44
#: All clients together hold at most a third of the descriptors.
BAD_CLIENTS = 320
#: What a bad client sends of its request, in pieces of one segment of an Ethernet each.
HALF_REQUEST, SEGMENT, PAUSE = 32_600, 1460, 0.02
#: How far over the limit a measurement has to be, so that its inaccuracy does not matter.
TOLERANCE = 1.05
LASTS = 40


def memory(pid):
    """The memory of a process in KiB: all of it, and without the pages of files."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        fields = dict(line.split(":", 1) for line in file)
    if "VmRSS" not in fields:
        return 0, 0
    return int(fields["VmRSS"].split()[0]), int(fields["RssAnon"].split()[0])


async def case(record, trouble):
    quiet = standins.Record()
    workers = [Worker(quiet, f"s-{index:08x}", "hill", work=WORK, load=1.2, slots=SLOTS) for index in range(WORKERS)]
    for worker in workers:
        await worker.start()
    coordinator = Coordinator(record)
    coordinator.publish([worker.host() for worker in workers], whole=True)
    await coordinator.start()
    front_end = FrontEnd(record, coordinator, sites.ba_na_archive(), memory_mb=MEMORY_MB, sockets=DESCRIPTORS)
    over = []
    tasks = []
    try:
        client = await front_end.start()
        client.record = quiet
        pid = front_end.process.pid

        async def platform():
            """The platform ends a front end that takes more than its memory."""
            highest = 0
            while True:
                total, anonymous = memory(pid)
                if total >= highest + 1024:
                    highest = total
                    record.add("platform", "memory", kib=total, without_files=anonymous, limit=MEMORY_MB << 10)
                if total > (MEMORY_MB << 10) * TOLERANCE:
                    open_calls = sum(len(each.open) for each in client.connections)
                    front_end.process.kill()
                    record.add("platform", "kill", kib=total, without_files=anonymous, open_calls=open_calls)
                    over.append(f"the front end took {total} KiB, and its limit is {MEMORY_MB << 10} KiB: it is killed "
                                f"with {open_calls} open calls of usual clients")
                    return
                await asyncio.sleep(0.01)

        functions = [hex_name() for _ in range(FUNCTIONS)]
        body = os.urandom(BODY)

        async def usual():
            while True:
                for function in functions:
                    tasks.append(asyncio.ensure_future(client.call(SORT, function, ttl=TTL, body=body)))
                    await asyncio.sleep(1 / RATE)

        async def bad(number):
            """Sends half a request and waits for what it is owed: a refusal, an error or a close within 3 s."""
            request = b'{"jsonrpc":"2.0","id":1,"method":"stamp","params":{"body":"'
            request += b"A" * (HALF_REQUEST - len(request))
            while not over:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", front_end.port)
                    for start in range(0, len(request), SEGMENT):
                        writer.write(request[start:start + SEGMENT])
                        await asyncio.sleep(random.uniform(0.0, 2 * PAUSE))
                    while await reader.read(65536):
                        pass
                    writer.close()
                    if number % 100 == 0:
                        record.add("bad client", "closed", number=number, sent=len(request))
                except OSError:
                    await asyncio.sleep(0.1)

        watch = asyncio.ensure_future(platform())
        tasks.append(watch)
        tasks.append(asyncio.ensure_future(usual()))
        await asyncio.sleep(8)
        if trouble:
            record.add("bad clients", "connect", connections=BAD_CLIENTS, bytes=HALF_REQUEST)
            tasks.extend(asyncio.ensure_future(bad(number)) for number in range(BAD_CLIENTS))
        await asyncio.wait([watch], timeout=LASTS)
        kinds = [kind for _, kind in client.answers.values()]
        counts = {kind: kinds.count(kind) for kind in sorted(set(kinds))}
        record.add("test", "answers", **counts)
    finally:
        for task in tasks:
            task.cancel()
        await front_end.stop()
    return over


if __name__ == "__main__":
    standins.main(case, FOLDER, max_lag=1.0)
