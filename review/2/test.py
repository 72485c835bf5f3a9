"""A call that may not have two attempts at once has two: its first attempt is given up without a word to the worker."""

import asyncio
import os
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import sites
import standins
from standins import SLACK, Coordinator, FrontEnd, NotRun, Worker, hex_name

SAFE, SAFE_TTL = "roster-view", 5000
UNSAFE, UNSAFE_TTL = "visit-assign", 5000
WORKERS = 12
#: The front end may have this many connections to a worker: two fifths of 232 descriptors for 12 workers.
CONNECTIONS = 7
BIG = 16 << 10
BIGS = 2
#: How long the worker reads nothing, in seconds.
HANG = 1.8
#: How exact the times of the stand-ins are, in seconds; two attempts at once for no longer are not counted.
ACCURACY = 0.1
#: A worker with small buffers behind an Ethernet.
SMALL = [(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048), (socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)]


class Attempt:
    def __init__(self, worker, call, sort, at):
        self.worker, self.call, self.sort, self.at, self.end, self.by = worker, call, sort, at, None, None


class HangingConnection(standins.WorkerConnection):
    def connection_made(self, transport):
        super().connection_made(transport)
        if self.worker.stopped:
            asyncio.get_running_loop().call_soon(transport.pause_reading)


class HangingWorker(Worker):
    """Records when each attempt arrived whole and when it ended: answered or given up."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.attempts = []
        self.stopped = False

    def stop_reading(self):
        self.stopped = True
        self.record.add(self.name, "hangs", closes=len(self.connections))
        for connection in list(self.connections):
            connection.transport.close()

    def read_again(self):
        self.stopped = False
        # Its two cores work through what has come meanwhile.
        self.slots = asyncio.Semaphore(2)
        self.record.add(self.name, "reads")
        for connection in list(self.connections):
            connection.transport.resume_reading()

    def line(self, connection, message):
        if message["cmd"] == "DO":
            attempt = Attempt(self, message["ref"], message["opts"]["sort"], self.record.now())
            self.attempts.append(attempt)
            connection.attempts = getattr(connection, "attempts", {})
            connection.attempts[message["ref"]] = attempt
        elif message["cmd"] == "UNDO":
            self.ended(connection, message["ref"], "UNDO")
        super().line(connection, message)

    def ended(self, connection, call, by):
        attempt = getattr(connection, "attempts", {}).get(call)
        if attempt and attempt.end is None:
            attempt.end, attempt.by = self.record.now(), by

    def closed(self, connection):
        for call in getattr(connection, "attempts", {}):
            self.ended(connection, call, "close")
        super().closed(connection)


async def case(record, trouble):
    settings = sites.lien_chieu_campus()
    workers = [HangingWorker(record, f"s-{index:08x}", "building-a", work=0.05, load=0.01, socket_options=SMALL)
               for index in range(WORKERS)]
    standins.WorkerConnection = HangingConnection
    for worker in workers:
        await worker.start()
    functions = [hex_name() for _ in range(300)]
    first = await standins.first_workers(record, settings, workers, functions, SAFE, SAFE_TTL)
    hanging = max(workers, key=lambda worker: sum(w is worker for w in first.values()))
    # Two functions that go to the same worker first, and to different ones when that one is gone.
    both = [function for function in functions if first.get(function) is hanging]
    others = [worker for worker in workers if worker is not hanging]
    second = await standins.first_workers(record, settings, others, both, SAFE, SAFE_TTL)
    safe = both[0]
    unsafe = next(function for function in both if second.get(function) is not second.get(safe))
    record.add("test", "roles", hangs=hanging.name, safe=safe, unsafe=unsafe)
    for worker in workers:
        worker.load = 1.9
        worker.loaded.clear()
        worker.attempts.clear()
    coordinator = Coordinator(record)
    coordinator.publish([worker.host() for worker in workers], whole=True)
    await coordinator.start()
    front_end = FrontEnd(record, coordinator, settings)
    pending = []
    try:
        client = await front_end.start()

        def call(safe_one, body=b"x"):
            sort, function, ttl = (SAFE, safe, SAFE_TTL) if safe_one else (UNSAFE, unsafe, UNSAFE_TTL)
            props = "memory_mb:3000;lanes:8"
            pending.append(asyncio.ensure_future(client.call(sort, function, ttl=ttl, body=body, props=props)))
            return pending[-1]

        # Usual calls: the worker has both functions loaded, and the front end has its connections to it.
        await asyncio.wait([call(True), call(False)])
        for _ in range(40):
            await asyncio.wait([call(True), call(False)])
        for _ in range(12):
            await asyncio.wait([call(number % 2 == 0) for number in range(8)])
        record.add("test", "ready", connections=len(hanging.connections))

        # The worker closes its idle connections and hangs: it reads nothing. Then a burst of calls comes. On each new
        # connection follow a call that may be repeated, one that may not, and lines of which the last one is accepted
        # by the system in part only.
        if trouble:
            hanging.stop_reading()
        await asyncio.sleep(0.05)
        for safe_one in (True, False):
            for _ in range(CONNECTIONS):
                call(safe_one, os.urandom(BIG) if safe_one else b"x")
            await asyncio.sleep(0.005)
        for _ in range(BIGS * CONNECTIONS):
            call(False, os.urandom(BIG))
        await asyncio.sleep(HANG)
        if trouble:
            hanging.read_again()
        await asyncio.wait(pending, timeout=6)
    finally:
        await front_end.stop()
    return check(workers)


def check(workers):
    """No call has two attempts out at once: an attempt is out from its arrival until its end or until it is given up.

    Where the worker was told of the giving up, by an UNDO or a close, however late it read that, nothing is counted.
    """
    breaks = []
    calls = {}
    for worker in workers:
        for attempt in worker.attempts:
            calls.setdefault(attempt.call, []).append(attempt)
    for call, attempts in calls.items():
        attempts.sort(key=lambda attempt: attempt.at)
        for earlier, later in zip(attempts, attempts[1:]):
            both = min(earlier.end or 1e9, later.end or 1e9) - later.at
            given_up = {"UNDO", "close"} & {earlier.by, later.by}
            if both > SLACK + ACCURACY and not given_up:
                breaks.append(f"call {call} of {later.sort}, one attempt at a time, was out at {earlier.worker.name} from {earlier.at:.3f} s and at "
                              f"{later.worker.name} from {later.at:.3f} s; both were out for {both:.3f} s "
                              f"(ends: {earlier.by}, {later.by})")
    return breaks


if __name__ == "__main__":
    standins.main(case, FOLDER, max_lag=ACCURACY)
