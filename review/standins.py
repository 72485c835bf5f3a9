"""Stand-ins for clients, workers and the coordinator of the platform, and the start of a front end.

Everything runs on loopback addresses and the real clock, in one process beside the front end. The stand-ins follow the
protocol page of the platform. Only the Python standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MS = 1_000_000
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Every time limit of the rules is longer by this on sockets (protocol page), in seconds.
SLACK = 0.05
#: A stand-in whose event loop was late by more than this cannot judge times, in seconds.
MAX_LAG = 0.04


class NotRun(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self):
        self.started = time.time()
        self.lines = []

    def now(self):
        return time.time() - self.started

    def add(self, who, what, **fields):
        at = self.now()
        self.lines.append((at, who, what, fields))
        return at

    def write(self, path):
        with open(path, "w", encoding="utf-8") as file:
            for at, who, what, fields in self.lines:
                text = " ".join(f"{name}={value}" for name, value in fields.items())
                file.write(f"{at:9.4f} {who:<12} {what:<10} {text}\n".rstrip() + "\n")


TAKEN = set()


def free_port():
    """A free port below those that the system gives to outgoing connections, each at most once."""
    while True:
        port = random.randint(12_000, 32_000)
        if port in TAKEN:
            continue
        TAKEN.add(port)
        with socket.socket() as listener:
            try:
                listener.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def hex_name():
    return f"{random.getrandbits(64):016x}"


class Coordinator:
    """Tells changes of the list of workers, numbered from 1, as server-sent events."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.events = []
        self.streams = set()
        self.silent = False

    def publish(self, hosts, whole=False):
        """Adds an event; from now on it is in the coordinator. It is told unless the coordinator is silent."""
        index = len(self.events) + 1
        event = {"index": index, "endpoints": {"seq": index, "whole": whole, "hosts": hosts}}
        self.events.append(event)
        told = [f"{host['host']}:{host['health']}" for host in hosts]
        at = self.record.add("coordinator", "event", index=index, hosts=",".join(told), silent=self.silent)
        if not self.silent:
            for writer in list(self.streams):
                writer.write(self.text(event))
        return at

    @staticmethod
    def text(event):
        return f"id: {event['index']}\ndata: {json.dumps(event)}\n\n".encode()

    def known(self):
        return {"index": len(self.events), "updates": list(self.events)}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.heartbeat = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1)
            if not self.silent:
                for writer in list(self.streams):
                    writer.write(b":\n\n")

    async def serve(self, reader, writer):
        last = 0
        try:
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                if name.lower() == "last-event-id":
                    last = int(value)
            self.record.add("coordinator", "asked", last=last, silent=self.silent)
            if not self.silent:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n:\n\n")
                for event in self.events[last:]:
                    writer.write(self.text(event))
                self.streams.add(writer)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            self.streams.discard(writer)
            writer.close()


class WorkerConnection(asyncio.Protocol):
    def __init__(self, worker):
        self.worker = worker
        self.buffer = b""
        self.calls = {}

    def connection_made(self, transport):
        self.transport = transport
        self.worker.connections.add(self)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, _):
        self.worker.connections.discard(self)
        self.worker.closed(self)

    def data_received(self, data):
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.worker.line(self, json.loads(line))

    def send(self, **answer):
        if not self.transport.is_closing():
            self.transport.write(json.dumps(answer).encode() + b"\n")


class Worker:
    """Loads functions on demand, some at a time, runs calls and answers."""

    def __init__(self, record, name, zone, *, work, load, loads_at_once=6, slots=10, keep=9.0, block=1,
                 socket_options=()):
        self.record, self.name, self.zone, self.block = record, name, zone, block
        self.work, self.load, self.keep = work, load, keep
        self.loads = asyncio.Semaphore(loads_at_once)
        self.slots = asyncio.Semaphore(slots)
        self.loaded = {}
        self.loading = {}
        self.connections = set()
        self.hung = False
        self.draining = False
        self.born_ms = 0
        self.port = free_port()
        self.socket_options = socket_options
        #: Called with (worker, call, class, key, body) when a call has run.
        self.on_run = None
        #: (time, call, connection) of each call that has arrived whole.
        self.arrived = []

    def host(self, health="SERVING"):
        return {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": self.zone, "class": "m1",
                "block": self.block, "health": health, "share": 4, "born_ms": self.born_ms}

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for level, option, value in self.socket_options:
            listener.setsockopt(level, option, value)
        listener.bind(("127.0.0.1", self.port))
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: WorkerConnection(self), sock=listener, backlog=256)

    def die(self):
        """The process ends: its connections are reset, new ones are refused."""
        self.record.add(self.name, "dies")
        self.server.close()
        for connection in list(self.connections):
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            connection.transport.abort()

    def closed(self, connection):
        for call in connection.calls:
            self.record.add(self.name, "given-up", call=call, by="close")
        for task in connection.calls.values():
            if task:
                task.cancel()

    def line(self, connection, message):
        command, reference = message["cmd"], message["ref"]
        options = message.get("opts", {})
        if command == "DO":
            at = self.record.add(self.name, "arrived", call=reference, sort=options["sort"], asset=options["asset"],
                                 patience=options["patience"], **({"op": options["op"]} if "op" in options else {}))
            self.arrived.append((at, reference, connection))
            connection.calls[reference] = None
            connection.calls[reference] = asyncio.ensure_future(self.run(connection, reference, options, message))
        elif command == "UNDO":
            self.record.add(self.name, "given-up", call=reference, by="UNDO")
            task = connection.calls.pop(reference, None)
            if task:
                task.cancel()
        elif self.hung:
            return
        elif command == "ECHO":
            connection.send(cmd="AILING" if self.draining else "READY", ref=reference)
        elif command == "METER":
            connection.send(cmd="READY", ref=reference, opts={"l": "inflight:1;util:0.2;x0:0.1;x1:0"})
        elif command == "PIN":
            self.record.add(self.name, "PIN", tag=reference, asset=options["asset"], n=options["n"])
            asyncio.ensure_future(self.pin(connection, reference, options))
        elif command == "UNPIN":
            self.record.add(self.name, "UNPIN", asset=reference)
            self.loaded.pop(reference, None)

    def ended(self, connection, call, by):
        """Called when an attempt has ended."""

    async def pin(self, connection, reference, options):
        if self.draining:
            return connection.send(cmd="AGAIN", ref=reference, opts={"n": 0})
        if int(options["n"]) > 0:
            await self.have(options["asset"])
        connection.send(cmd="ACK", ref=reference, opts={"n": int(options["asset"] in self.loaded)})

    async def have(self, asset):
        """Waits until the function is loaded."""
        loop = asyncio.get_running_loop()
        if self.loaded.get(asset, 0) > loop.time():
            self.loaded[asset] = loop.time() + self.keep
            return
        if asset not in self.loading:
            self.loading[asset] = asyncio.ensure_future(self.fetch(asset))
        await asyncio.shield(self.loading[asset])

    async def fetch(self, asset):
        async with self.loads:
            await asyncio.sleep(self.load)
        self.loaded[asset] = asyncio.get_running_loop().time() + self.keep
        del self.loading[asset]

    async def run(self, connection, reference, options, message):
        await self.have(options["asset"])
        async with self.slots:
            await asyncio.sleep(self.work)
        if self.on_run:
            self.on_run(self, reference, options["sort"], options.get("op"))
        if self.hung:
            # The request has run; a worker that hangs gives no answer.
            return await asyncio.sleep(3600)
        connection.calls.pop(reference, None)
        self.record.add(self.name, "answered", call=reference)
        self.ended(connection, reference, "answer")
        connection.send(cmd="ACK", ref=reference, payload=message.get("payload", ""))


class ClientConnection:
    def __init__(self):
        self.open = {}
        self.next_id = 1
        self.last_used = time.time()


class Client:
    """Sends calls over several connections, at most 32 open on each, and closes idle ones after 4 s."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.connections = []
        #: call -> (time, kind, fields) of the final answer.
        self.answers = {}

    async def connection(self):
        now = time.time()
        for each in list(self.connections):
            if not each.open and now - each.last_used > 3.5:
                self.connections.remove(each)
                each.writer.close()
        for each in self.connections:
            if len(each.open) < 32:
                return each
        each = ClientConnection()
        reader, each.writer = await asyncio.open_connection("127.0.0.1", self.port)
        each.task = asyncio.ensure_future(self.read(each, reader))
        self.connections.append(each)
        return each

    async def read(self, connection, reader):
        while line := await reader.readline():
            answer = json.loads(line)
            connection.last_used = time.time()
            waiting = connection.open.pop(answer["id"], None)
            if waiting is None:
                self.record.add("client", "stray", line=line.decode().strip())
            else:
                waiting.set_result(answer)
        for waiting in connection.open.values():
            waiting.set_result({"closed": True})
        if connection in self.connections:
            self.connections.remove(connection)

    async def ask(self, method, params):
        connection = await self.connection()
        number, connection.next_id = connection.next_id, connection.next_id + 1
        waiting = asyncio.get_running_loop().create_future()
        connection.open[number] = waiting
        connection.last_used = time.time()
        request = {"jsonrpc": "2.0", "id": number, "method": method, "params": params}
        connection.writer.write(json.dumps(request).encode() + b"\n")
        return await waiting

    async def is_well(self):
        try:
            return (await self.ask("isWell", {})).get("result", {}).get("healthy") is True
        except OSError:
            return False

    async def call(self, sort, asset, *, ttl, key=None, body=b"x", props="memory_mb:3000;lanes:4", name=None):
        """Sends one call and waits for its final answer; returns "served", "refused", "failed" or "closed"."""
        name = name or hex_name()
        params = {"call": name, "ttl": ttl, "row": asset, "props": props, "body": base64.b64encode(body).decode()}
        if key:
            params["dedupe"] = key
        self.record.add("client", "sent", call=name, sort=sort, row=asset, ttl=ttl, **({"key": key} if key else {}))
        answer = await self.ask(sort, params)
        if "closed" in answer:
            kind = "closed"
        elif "result" in answer:
            kind = "served"
        else:
            kind = "refused" if answer["error"]["code"] == -32050 else "failed"
        text = answer.get("error", {}).get("message", "")
        at = self.record.add("client", kind, call=name, **({"message": text} if text else {}))
        self.answers[name] = (at, kind)
        return kind


class FrontEnd:
    """One front end, started by the `run` command of the deploy file."""

    def __init__(self, record, coordinator, settings, *, sockets=256, memory_mb=192, name="n1"):
        self.record, self.coordinator, self.settings = record, coordinator, settings
        self.name, self.sockets, self.memory_mb = name, sockets, memory_mb
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        self.folder = tempfile.mkdtemp()
        self.port = free_port()
        listen = f"127.0.0.1:{self.port}"
        config = {
            "name": self.name, "listen": listen, "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "coordinator": f"127.0.0.1:{self.coordinator.port}", "known": self.coordinator.known(),
            "settings": self.settings,
        }
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = dict(os.environ, LB_NAME=self.name, LB_LISTEN=listen, LB_CONFIG=path, TMPDIR=self.folder)
        keep_log = os.environ.get("FRONT_END_LOG")
        self.log = open(keep_log or os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, preexec_fn=end_with_parent)
        self.record.add(self.name, "started")
        self.client = Client(self.record, self.port)
        for _ in range(100):
            if self.process.returncode is not None:
                raise NotRun("the front end ended at its start; is it built?")
            if await self.client.is_well():
                return self.client
            await asyncio.sleep(0.1)
        raise NotRun("the front end is not ready within 10 s")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.process:
            self.log.close()
            shutil.rmtree(self.folder, ignore_errors=True)


def end_with_parent():
    """Ends the front end if this process is killed (PR_SET_PDEATHSIG)."""
    import ctypes
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Lag:
    """How late the event loop of the stand-ins was at most."""

    async def watch(self):
        self.most = 0.0
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            self.most = max(self.most, time.monotonic() - before - 0.005)


async def first_workers(record, settings, workers, functions, sort, ttl):
    """Finds, with a front end started for that alone, to which worker the first call of each function goes."""
    record.add("test", "learns", workers=len(workers), functions=len(functions))
    coordinator = Coordinator(record)
    coordinator.publish([worker.host() for worker in workers], whole=True)
    await coordinator.start()
    front_end = FrontEnd(record, coordinator, settings, name="n0")
    found = {}
    calls = {}
    before = [len(worker.arrived) for worker in workers]
    try:
        client = await front_end.start()
        pending = []
        for function in functions:
            name = hex_name()
            calls[name] = function
            pending.append(asyncio.ensure_future(client.call(sort, function, ttl=ttl, name=name, key=name)))
            await asyncio.sleep(0.004)
        await asyncio.wait(pending, timeout=4)
    finally:
        await front_end.stop()
        coordinator.server.close()
        coordinator.heartbeat.cancel()
    for worker, start in zip(workers, before):
        for _, call, _ in worker.arrived[start:]:
            found.setdefault(calls[call], worker)
    record.add("test", "learnt", functions=len(found), workers=len(workers))
    return found


def main(case, folder, max_lag=MAX_LAG):
    """Runs a case; `case` is a coroutine of (record, trouble) that returns the breaks of the rule, as texts."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()

    async def play():
        lag = Lag()
        watch = asyncio.ensure_future(lag.watch())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        breaks = await asyncio.wait_for(case(record, trouble), 110)
        watch.cancel()
        record.add("test", "lag", most_ms=round(lag.most * 1000))
        return breaks, lag.most

    try:
        breaks, lag = asyncio.run(play())
        for text in breaks:
            record.add("test", "BREAK", text=text)
        result = BROKEN if breaks else HELD
        if lag > max_lag:
            record.add("test", "not run", why="the stand-ins were late")
            result = NOT_RUN
    except (Exception, asyncio.CancelledError) as error:  # A fault of the test itself must not count as a broken rule.
        record.add("test", "not run", why=repr(error))
        result = NOT_RUN
    record.add("test", ["held", "broken", "not run"][result], trouble=int(trouble))
    record.write(os.path.join(folder, "record.txt"))
    for at, who, what, fields in record.lines:
        if who == "test":
            print(f"{at:8.3f} {what} {fields}")
    sys.stdout.flush()
    os._exit(result)
