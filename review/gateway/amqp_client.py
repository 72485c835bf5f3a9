"""A small AMQP 0-9-1 client for the cases: it publishes messages and receives the answers of its reply queue."""
import socket
import struct
import threading
import time

FRAME_METHOD, FRAME_HEADER, FRAME_BODY, FRAME_HEARTBEAT = 1, 2, 3, 8
FRAME_END = 0xCE
CHANNEL = 1
# The properties of a message in the order of their flags, from bit 15 down, with their types.
PROPERTIES = [
    ("content_type", "short"), ("content_encoding", "short"), ("headers", "table"), ("delivery_mode", "octet"),
    ("priority", "octet"), ("correlation_id", "short"), ("reply_to", "short"), ("expiration", "short"),
    ("message_id", "short"), ("timestamp", "longlong"), ("type", "short"), ("user_id", "short"), ("app_id", "short"),
]


def short_str(text):
    data = text.encode()
    return struct.pack(">B", len(data)) + data


def long_str(data):
    data = data.encode() if isinstance(data, str) else data
    return struct.pack(">I", len(data)) + data


def field_value(value):
    if isinstance(value, bool):
        return b"t" + struct.pack(">B", value)
    if isinstance(value, int):
        return b"l" + struct.pack(">q", value)
    if isinstance(value, dict):
        return b"F" + table(value)
    return b"S" + long_str(value)


def table(fields):
    return long_str(b"".join(short_str(name) + field_value(value) for name, value in fields.items()))


class Reader:
    """Reads values from the front of a byte string."""

    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, count):
        part = self.data[self.at:self.at + count]
        self.at += count
        return part

    def number(self, form):
        return struct.unpack(">" + form, self.take(struct.calcsize(">" + form)))[0]

    def short_str(self):
        return self.take(self.number("B")).decode()

    def long_str(self):
        return self.take(self.number("I"))

    def table(self):
        inner, fields = Reader(self.long_str()), {}
        while inner.at < len(inner.data):
            name = inner.short_str()
            fields[name] = inner.field_value()
        return fields

    def field_value(self):
        kind = self.take(1)
        forms = {b"b": "b", b"B": "B", b"s": "h", b"u": "H", b"I": "i", b"i": "I", b"l": "q", b"L": "q", b"f": "f",
                 b"d": "d", b"T": "Q"}
        if kind in forms:
            return self.number(forms[kind])
        if kind == b"t":
            return bool(self.number("B"))
        if kind == b"S":
            return self.long_str().decode(errors="replace")
        if kind == b"x":
            return self.long_str()
        if kind == b"F":
            return self.table()
        if kind == b"V":
            return None
        raise ValueError(f"field type {kind!r}")


def encode_properties(properties):
    flags, values = 0, b""
    for bit, (name, kind) in enumerate(PROPERTIES):
        value = properties.get(name)
        if value is None:
            continue
        flags |= 1 << (15 - bit)
        values += {"short": short_str, "table": table, "octet": lambda v: struct.pack(">B", v),
                   "longlong": lambda v: struct.pack(">Q", v)}[kind](value)
    return struct.pack(">H", flags) + values


def decode_properties(reader):
    flags, properties = reader.number("H"), {}
    for bit, (name, kind) in enumerate(PROPERTIES):
        if flags & (1 << (15 - bit)):
            properties[name] = {"short": reader.short_str, "table": reader.table,
                                "octet": lambda: reader.number("B"), "longlong": lambda: reader.number("Q")}[kind]()
    return properties


class Client:
    """One connection with one channel and one reply queue. `on_message` gets the properties and body of each answer."""

    def __init__(self, address, reply_queue, on_message, user="guest", password="guest", heartbeat=0):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=10)
        self.socket.settimeout(None)
        self.buffer = b""
        self.lock = threading.Lock()
        self.reply_queue, self.on_message = reply_queue, on_message
        self.closed = False
        self.frame_max = 131072
        self.user = user
        self._handshake(user, password, heartbeat)
        self._method(20, 10, short_str(""))
        self._expect(20, 11)
        # Exclusive and deleted with its last consumer, as a reply queue is.
        self._method(50, 10, struct.pack(">H", 0) + short_str(reply_queue) + struct.pack(">B", 0b01100) + table({}))
        self._expect(50, 11)
        self._method(60, 20, struct.pack(">H", 0) + short_str(reply_queue) + short_str("answers")
                     + struct.pack(">B", 0b0010) + table({}))
        self._expect(60, 21)
        threading.Thread(target=self._receive, daemon=True).start()

    def _handshake(self, user, password, heartbeat):
        self.socket.sendall(b"AMQP\x00\x00\x09\x01")
        self._expect(10, 10)
        self._method(10, 11, table({"product": "review"}) + short_str("PLAIN") + long_str(f"\0{user}\0{password}")
                     + short_str("en_US"), channel=0)
        tune = self._expect(10, 30)
        channel_max, frame_max, _ = tune.number("H"), tune.number("I"), tune.number("H")
        self.frame_max = frame_max or self.frame_max
        self._method(10, 31, struct.pack(">HIH", channel_max, self.frame_max, heartbeat), channel=0)
        self._method(10, 40, short_str("/") + short_str("") + b"\0", channel=0)
        self._expect(10, 41)

    def _frame(self, kind, channel, payload):
        return struct.pack(">BHI", kind, channel, len(payload)) + payload + bytes([FRAME_END])

    def _method(self, class_id, method_id, arguments, channel=CHANNEL):
        with self.lock:
            self.socket.sendall(self._frame(FRAME_METHOD, channel, struct.pack(">HH", class_id, method_id) + arguments))

    def _read(self, count):
        while len(self.buffer) < count:
            data = self.socket.recv(65536)
            if not data:
                raise ConnectionError("the broker closed the connection")
            self.buffer += data
        part, self.buffer = self.buffer[:count], self.buffer[count:]
        return part

    def _next_frame(self):
        while True:
            kind, channel, size = struct.unpack(">BHI", self._read(7))
            payload = self._read(size + 1)[:-1]
            if kind != FRAME_HEARTBEAT:
                return kind, channel, payload

    def _expect(self, class_id, method_id):
        kind, _, payload = self._next_frame()
        reader = Reader(payload)
        found = (reader.number("H"), reader.number("H"))
        if kind != FRAME_METHOD or found != (class_id, method_id):
            raise ConnectionError(f"expected method {class_id}.{method_id}, got {found}: {payload[4:80]!r}")
        return reader

    def _receive(self):
        try:
            while True:
                kind, _, payload = self._next_frame()
                reader = Reader(payload)
                method = (reader.number("H"), reader.number("H")) if kind == FRAME_METHOD else None
                if method == (60, 60):
                    self._receive_content()
                elif method in ((10, 50), (20, 40)):
                    raise ConnectionError(f"closed by the broker: {payload[4:200]!r}")
        except (OSError, ConnectionError):
            self.closed = True

    def _receive_content(self):
        _, _, payload = self._next_frame()
        reader = Reader(payload)
        reader.number("H"), reader.number("H")
        size = reader.number("Q")
        properties, body = decode_properties(reader), b""
        while len(body) < size:
            body += self._next_frame()[2]
        self.on_message(time.monotonic(), properties, body)

    def publish(self, queue, properties, body):
        """Publishes a message to a queue; its answer goes to the reply queue of this client."""
        properties = {"reply_to": self.reply_queue, "content_type": "application/json", **properties}
        header = struct.pack(">HHQ", 60, 0, len(body)) + encode_properties(properties)
        frames = self._frame(FRAME_METHOD, CHANNEL, struct.pack(">HHH", 60, 40, 0) + short_str("") + short_str(queue)
                             + b"\0")
        frames += self._frame(FRAME_HEADER, CHANNEL, header)
        for at in range(0, len(body), self.frame_max - 8):
            frames += self._frame(FRAME_BODY, CHANNEL, body[at:at + self.frame_max - 8])
        with self.lock:
            self.socket.sendall(frames)

    def close(self):
        try:
            self.socket.close()
        except OSError:
            pass
