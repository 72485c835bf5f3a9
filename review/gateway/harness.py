"""What the cases on the gateway share: processes, workers over HTTP, queue clients and the record.

The program is the one that the `build` line of the deploy file makes and its `run` line starts. `run` starts the front end of
the platform (`node`); the cases start the front end of the gateway, `serve`, and the project's emulators with it.
"""
import http.server
import json
import os
import signal
import shlex
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from amqp_client import Client  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as deploy_file:
    # "exec target/release/pipithub node"
    PROGRAM = os.path.join(ROOT, shlex.split(tomllib.load(deploy_file)["run"])[-2])
MAX_SECONDS = 110


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_for(address, seconds=10):
    host, port = address.rsplit(":", 1)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
            return
        except OSError:
            time.sleep(0.02)
    raise NotRunnable(f"nobody listens at {address}")


class NotRunnable(Exception):
    """The case could not be played."""


class Case:
    """One run of a case. Everything it starts ends with `close`."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.record_file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.record_lock = threading.Lock()
        self.temporary = tempfile.TemporaryDirectory()
        self.processes = []
        self.clients = []
        self.record(f"case: begins at Unix time {time.time():.3f}, TROUBLE={int(self.trouble)}")

    def record(self, line):
        with self.record_lock:
            if not self.record_file.closed:
                self.record_file.write(f"{time.monotonic() - self.started:8.3f}  {line}\n")

    def path(self, name):
        return os.path.join(self.temporary.name, name)

    def start(self, name, arguments, **options):
        """Starts the project's program. Its log goes to the temporary folder, and to the record if asked for."""
        log = open(self.path(f"{name}.log"), "ab")
        process = subprocess.Popen([PROGRAM, *arguments], stdout=log, stderr=log, cwd=ROOT,
                                   env={**os.environ, "RUST_LOG": "info", "NO_COLOR": "1"}, **options)
        log.close()
        self.processes.append(process)
        self.record(f"starts {name}: pipithub {' '.join(arguments)}".replace(self.temporary.name, "$TMP"))
        return process

    def kill(self, name, process):
        self.record(f"kills {name} (SIGKILL)")
        process.kill()
        process.wait()

    def log_text(self, name):
        try:
            with open(self.path(f"{name}.log"), errors="replace") as log:
                return log.read()
        except OSError:
            return ""

    def record_log(self, name, lines=12):
        """Copies the last lines of a program's log to the record."""
        for line in self.log_text(name).splitlines()[-lines:]:
            self.record(f"log of {name}: {line[:300]}")

    def emulated_broker(self, queue):
        address = f"127.0.0.1:{free_port()}"
        self.start("broker", ["emulator", "broker", "--listen", address, "--queue", queue])
        wait_for(address)
        return address

    def gateway(self, name, settings):
        """Starts a front end of the gateway and waits until it consumes."""
        path = self.path(f"{name}.kdl")
        with open(path, "w") as file:
            file.write(settings)
        before = self.log_text(name).count("consumer started")
        process = self.start(name, ["serve", "--config", path])
        end = time.monotonic() + 15
        while self.log_text(name).count("consumer started") <= before:
            if time.monotonic() > end or process.poll() is not None:
                self.record_log(name)
                raise NotRunnable(f"{name} does not consume")
            time.sleep(0.05)
        return process

    def client(self, address, reply_queue, on_message, **login):
        client = Client(address, reply_queue, on_message, **login)
        self.clients.append(client)
        return client

    def close(self):
        for client in self.clients:
            client.close()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.record("case: ends")
        self.record_file.close()
        self.temporary.cleanup()


class Mailbox:
    """A queue client that counts the answers to each of its publications, by correlation id."""

    def __init__(self, case, address, name, **login):
        self.case, self.name = case, name
        self.answers = {}
        self.published = {}
        self.lock = threading.Lock()
        self.client = case.client(address, f"answers-{name}", self._answered, **login)

    def _answered(self, at, properties, body):
        headers = properties.get("headers") or {}
        correlation = properties.get("correlation_id")
        answer = {
            "at": at, "verdict": headers.get("pipithub-verdict"), "cause": headers.get("pipithub-cause"), "body": body,
            "after": at - self.published.get(correlation, at),
        }
        with self.lock:
            self.answers.setdefault(correlation, []).append(answer)
        self.case.record(f"{self.name}: answer to {correlation}: {answer['verdict']} {answer['cause']} "
                         f"{body[:120]!r} after {answer['after']:.3f} s")

    def publish(self, queue, correlation, properties, body):
        headers = {"pipithub-sent-ms": int(time.time() * 1000), **properties.pop("headers", {})}
        properties = {"correlation_id": correlation, "headers": headers, **properties}
        self.published[correlation] = time.monotonic()
        shown = {**properties, "headers": {k: v if len(str(v)) < 80 else f"{len(v)} bytes" for k, v in headers.items()}}
        self.case.record(f"{self.name}: publishes {shown} {body[:80]!r}")
        self.client.publish(queue, properties, body)

    def answered(self, correlation):
        with self.lock:
            return list(self.answers.get(correlation, []))

    def wait(self, correlations, seconds):
        """Waits until each publication has an answer, at most for some time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not all(self.answered(c) for c in correlations):
            time.sleep(0.02)


class Worker:
    """A worker over HTTP/1.1. A call states its run time as `work_ms`, and its answer repeats `token`.

    With `window`, calls with an idempotency key that began to run less than that many seconds ago are dropped: they get
    the answer of the first one. Workers that share `keys` drop each other's repeats.
    """

    def __init__(self, case, name, window=None, keys=None):
        self.case, self.name = case, name
        self.full = False
        self.window, self.keys = window, keys if keys is not None else {}
        self.lock = threading.Lock()
        self.runs = []
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def reply(self, status, headers, body=b""):
                self.send_response(status)
                for key, value in headers.items():
                    self.send_header(key, value)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                self.reply(200, {})

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("content-length") or 0))
                try:
                    worker.serve(self, body)
                except OSError:
                    self.close_connection = True

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, handler, body):
        if handler.path.startswith("/v2/repository/"):
            return handler.reply(200, {"pipithub-copies": "1"})
        key = handler.headers.get("idempotency-key")
        what = (f"call {handler.headers.get('x-request-id')} of {handler.headers.get('pipithub-front-end')}, "
                f"attempt {handler.headers.get('pipithub-attempt')}, key {key}, {handler.path}")
        if self.full:
            self.case.record(f"{self.name}: full, turns away {what}")
            return handler.reply(429, {"pipithub-ran": "no"})
        call = json.loads(body)
        now = time.monotonic()
        with self.lock:
            before = self.keys.get(key) if key and self.window else None
            is_repeat = before is not None and now - before < self.window
            if not is_repeat:
                if key:
                    self.keys[key] = now
                self.runs.append({"at": now, "key": key, "token": call.get("token"), "path": handler.path})
        if is_repeat:
            self.case.record(f"{self.name}: drops a repeat, {what}")
        else:
            self.case.record(f"{self.name}: runs {what}")
            time.sleep(call.get("work_ms", 50) / 1000)
        answer = json.dumps({"token": call.get("token"), "path": handler.path}).encode()
        handler.reply(200, {"content-type": "application/json", "pipithub-copy": "warm"}, answer)


def main(folder, play):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played."""
    if not os.path.exists(PROGRAM):
        print("the program is not built", file=sys.stderr)
        sys.exit(2)
    case = Case(folder)

    def too_long(*_):
        raise NotRunnable("the case takes too long")

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, too_long)
    signal.alarm(MAX_SECONDS)
    try:
        faults = play(case)
        status = 1 if faults else 0
        for fault in faults:
            case.record(f"BROKEN: {fault}")
            print(f"BROKEN: {fault}")
        if not faults:
            case.record("HELD")
            print("HELD")
    except Exception as error:  # A fault of the test itself must not count as a broken rule.
        case.record(f"NOT RUN: {error!r}")
        print(f"NOT RUN: {error!r}")
        status = 2
    finally:
        signal.alarm(0)
        case.close()
    sys.exit(status)
