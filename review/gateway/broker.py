"""A small AMQP 0-9-1 broker for the cases that need several users: the project's emulator knows only `guest`.

It has durable queues, the default exchange, prefetch limits, transactions and redelivery. As RabbitMQ does, it refuses a
message whose `user_id` is not the user of its publisher's connection (406 on the channel), and a frame beyond the
negotiated size (501 on the connection).
"""
import collections
import socket
import struct
import threading

from amqp_client import FRAME_BODY, FRAME_END, FRAME_HEADER, FRAME_HEARTBEAT, FRAME_METHOD, Reader, decode_properties, \
    long_str, short_str, table

FRAME_MAX = 131072


class Fault(Exception):
    """A violation by a client; `connection` tells whether it ends the connection or only the channel."""

    def __init__(self, code, text, method=(0, 0), connection=False):
        super().__init__(text)
        self.code, self.text, self.method, self.connection = code, text, method, connection


class Message:
    def __init__(self, number, routing_key, header, body):
        self.number, self.routing_key, self.header, self.body = number, routing_key, header, body
        self.redelivered = False


class Broker:
    """Listens on loopback; `users` are names with their passwords, `log` gets a line for each event."""

    def __init__(self, users, queues, log):
        self.users, self.log = users, log
        self.lock = threading.RLock()
        self.queues = {name: collections.deque() for name in queues}
        self.consumers = collections.defaultdict(list)
        self.next_number = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                peer, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=Connection(self, peer).serve, daemon=True).start()

    def publish(self, routing_key, header, body):
        """Appends a message to a queue; returns whether there is one."""
        if routing_key not in self.queues:
            return False
        self.next_number += 1
        self.queues[routing_key].append(Message(self.next_number, routing_key, header, body))
        return True

    def deliver(self):
        """Delivers what may be delivered, to the consumers of each queue in turn."""
        for name, messages in self.queues.items():
            progress = True
            while messages and progress:
                progress = False
                for consumer in list(self.consumers[name]):
                    if messages and consumer.may_take():
                        self.consumers[name].remove(consumer)
                        self.consumers[name].append(consumer)
                        consumer.take(messages.popleft())
                        progress = True
                        break

    def requeue(self, messages):
        for message in sorted(messages, key=lambda m: -m.number):
            message.redelivered = True
            if message.routing_key in self.queues:
                self.queues[message.routing_key].appendleft(message)

    def depth(self, queue):
        with self.lock:
            return len(self.queues[queue])


class Consumer:
    def __init__(self, connection, channel, tag, no_ack):
        self.connection, self.channel, self.tag, self.no_ack = connection, channel, tag, no_ack

    def may_take(self):
        state = self.connection.channels.get(self.channel)
        return state is not None and (state.limit == 0 or len(state.unacked) < state.limit)

    def take(self, message):
        state = self.connection.channels[self.channel]
        state.last_tag += 1
        if not self.no_ack:
            state.unacked[state.last_tag] = message
        method = struct.pack(">HH", 60, 60) + short_str(self.tag) + struct.pack(">QB", state.last_tag,
                                                                               message.redelivered)
        method += short_str("") + short_str(message.routing_key)
        self.connection.send_content(self.channel, method, message.header, message.body)


class ChannelState:
    def __init__(self):
        self.unacked, self.last_tag, self.limit = {}, 0, 0
        self.transaction = None
        self.closed = False


class Connection:
    def __init__(self, broker, peer):
        self.broker, self.socket = broker, peer
        self.buffer, self.user, self.name = b"", None, "?"
        self.channels, self.exclusive = {}, []
        self.write_lock = threading.Lock()

    def serve(self):
        try:
            if self.read(8) != b"AMQP\x00\x00\x09\x01":
                return
            self.send(0, 10, 10, b"\0\x09" + table({}) + long_str("PLAIN") + long_str("en_US"))
            while True:
                kind, channel, payload = self.next_frame()
                if kind == FRAME_HEARTBEAT:
                    self.write(FRAME_HEARTBEAT, 0, b"")
                elif kind == FRAME_METHOD:
                    self.handle(channel, Reader(payload))
        except (OSError, ConnectionError) as error:
            self.broker.log(f"broker: connection of {self.user} ({self.name}) ended: {error}")
        except Fault as fault:
            self.broker.log(f"broker: closes connection of {self.user} ({self.name}): {fault.code} {fault.text}")
            try:
                self.send(0, 10, 50, struct.pack(">H", fault.code) + short_str(fault.text[:200])
                          + struct.pack(">HH", *fault.method))
                self.socket.shutdown(socket.SHUT_WR)
                while self.socket.recv(65536):
                    pass
            except OSError:
                pass
        finally:
            self.end()

    def end(self):
        with self.broker.lock:
            for queue, consumers in self.broker.consumers.items():
                self.broker.consumers[queue] = [c for c in consumers if c.connection is not self]
            for state in self.channels.values():
                self.broker.requeue(state.unacked.values())
            for queue in self.exclusive:
                self.broker.queues.pop(queue, None)
            self.channels = {}
            self.broker.deliver()
        self.socket.close()

    def read(self, count):
        while len(self.buffer) < count:
            data = self.socket.recv(65536)
            if not data:
                raise ConnectionError("closed by the client")
            self.buffer += data
        part, self.buffer = self.buffer[:count], self.buffer[count:]
        return part

    def next_frame(self):
        kind, channel, size = struct.unpack(">BHI", self.read(7))
        if size + 8 > FRAME_MAX:
            raise Fault(501, f"FRAME_ERROR: frame of {size + 8} bytes, {FRAME_MAX} were negotiated", connection=True)
        return kind, channel, self.read(size + 1)[:-1]

    def write(self, kind, channel, payload):
        with self.write_lock:
            self.socket.sendall(struct.pack(">BHI", kind, channel, len(payload)) + payload + bytes([FRAME_END]))

    def send(self, channel, class_id, method_id, arguments=b""):
        self.write(FRAME_METHOD, channel, struct.pack(">HH", class_id, method_id) + arguments)

    def send_content(self, channel, method, header, body):
        try:
            self.write(FRAME_METHOD, channel, method)
            self.write(FRAME_HEADER, channel, header)
            for at in range(0, len(body), FRAME_MAX - 8):
                self.write(FRAME_BODY, channel, body[at:at + FRAME_MAX - 8])
        except OSError:
            pass  # The reader notices the end of the connection.

    def read_content(self):
        _, _, header = self.next_frame()
        size, body = struct.unpack(">Q", header[4:12])[0], b""
        while len(body) < size:
            body += self.next_frame()[2]
        return header, body

    def handle(self, channel, reader):
        method = (reader.number("H"), reader.number("H"))
        content = self.read_content() if method == (60, 40) else None
        state = self.channels.get(channel)
        if state is not None and state.closed and method != (20, 41):
            return
        try:
            with self.broker.lock:
                self.dispatch(channel, method, reader, content)
                self.broker.deliver()
        except Fault as fault:
            fault.method = method
            if fault.connection:
                raise
            self.broker.log(f"broker: closes channel of {self.user} ({self.name}): {fault.code} {fault.text}")
            with self.broker.lock:
                state.closed = True
                self.broker.requeue(state.unacked.values())
                state.unacked = {}
                for queue, consumers in self.broker.consumers.items():
                    self.broker.consumers[queue] = [c for c in consumers if c.connection is not self]
            self.send(channel, 20, 40, struct.pack(">H", fault.code) + short_str(fault.text[:200])
                      + struct.pack(">HH", *method))

    def dispatch(self, channel, method, reader, content):
        state = self.channels.get(channel)
        if method == (10, 11):
            self.name = reader.table().get("connection_name", "client")
            reader.short_str()
            _, user, password = reader.long_str().decode().split("\0")
            if self.broker.users.get(user) != password:
                raise Fault(403, "ACCESS_REFUSED", connection=True)
            self.user = user
            self.send(0, 10, 30, struct.pack(">HIH", 2047, FRAME_MAX, 60))
        elif method == (10, 40):
            self.send(0, 10, 41, short_str(""))
        elif method == (10, 50):
            self.send(0, 10, 51)
            raise ConnectionError("closed by the client")
        elif method == (20, 10):
            self.channels[channel] = ChannelState()
            self.send(channel, 20, 11, long_str(""))
        elif method == (20, 40):
            self.send(channel, 20, 41)
        elif method == (20, 41):
            self.channels.pop(channel, None)
        elif method == (50, 10):
            reader.number("H")
            queue, bits = reader.short_str(), reader.number("B")
            if queue not in self.broker.queues:
                self.broker.queues[queue] = collections.deque()
                if bits & 0b100:
                    self.exclusive.append(queue)
            self.send(channel, 50, 11, short_str(queue) + struct.pack(">II", 0, 0))
        elif method == (60, 10):
            reader.number("I")
            state.limit = reader.number("H")
            self.send(channel, 60, 11)
        elif method == (60, 20):
            reader.number("H")
            queue, tag, bits = reader.short_str(), reader.short_str(), reader.number("B")
            if queue not in self.broker.queues:
                raise Fault(404, f"NOT_FOUND: queue '{queue}'")
            self.send(channel, 60, 21, short_str(tag))
            self.broker.consumers[queue].append(Consumer(self, channel, tag, bool(bits & 0b10)))
        elif method == (60, 30):
            tag = reader.short_str()
            for queue, consumers in self.broker.consumers.items():
                self.broker.consumers[queue] = [c for c in consumers if (c.connection, c.tag) != (self, tag)]
            self.send(channel, 60, 31, short_str(tag))
        elif method == (60, 40):
            self.check_publish(content)
            reader.number("H")
            exchange, routing_key, bits = reader.short_str(), reader.short_str(), reader.number("B")
            self.in_transaction(state, lambda: self.publish(channel, exchange, routing_key, bits, content))
        elif method in ((60, 80), (60, 90)):
            tag = reader.number("Q")
            if tag not in state.unacked:
                raise Fault(406, f"PRECONDITION_FAILED: unknown delivery tag {tag}")
            self.in_transaction(state, lambda: state.unacked.pop(tag, None))
        elif method == (90, 10):
            state.transaction = []
            self.send(channel, 90, 11)
        elif method == (90, 20):
            actions, state.transaction = state.transaction, []
            for action in actions:
                action()
            self.send(channel, 90, 21)

    def in_transaction(self, state, action):
        if state.transaction is None:
            action()
        else:
            state.transaction.append(action)

    def check_publish(self, content):
        properties = decode_properties(Reader(content[0][12:]))
        claimed = properties.get("user_id")
        if claimed is not None and claimed != self.user:
            raise Fault(406, f"PRECONDITION_FAILED - user_id property set to '{claimed}' but authenticated user was "
                             f"'{self.user}'")

    def publish(self, channel, exchange, routing_key, bits, content):
        header, body = content
        if not self.broker.publish(routing_key, header, body) and bits & 1:
            method = struct.pack(">HHH", 60, 50, 312) + short_str("NO_ROUTE") + short_str(exchange)
            self.send_content(channel, method + short_str(routing_key), header, body)
