"""Signed calls that must never run twice run longer than a signature is valid; one of three front ends is killed."""
import hashlib
import hmac
import json
import os
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "gateway"))
from harness import Mailbox, NotRunnable, Worker, free_port, main, wait_for  # noqa: E402

FRONT_ENDS = 3
CALLS = 12
GIVE_UP = 5.0  # In seconds.
SLACK = 0.5
MAX_AGE = 2  # How long a signature is valid, in seconds.
KEY = b"a key for the desks of the campus"
TREE = """dn: dc=example
objectClass: domain

dn: ou=campus,dc=example
objectClass: organizationalUnit

dn: uid=mai,ou=campus,dc=example
objectClass: person
uid: mai
"""
SETTINGS = """
front-end "{name}" peers=3
class "visit-assign" {{ effect "unsafe"; aim "750ms"; give-up "5s"; late-worth 0.3 }}
signatures max-age="{max_age}s" {{ key "desk" file="{key}" }}
directory "campus" {{ server "{directory}"; tls "none"; base "dc=example" }}
tenant "campus" {{ directory "campus" base="ou=campus,dc=example"; function "rosters" }}
admission {{ identity-wait "500ms" }}
amqp "main" {{
    address "{broker}"
    queue "calls" {{ prefetch 200; lanes 16; identity "signed" }}
}}
workers {{ worker "{workers[0]}"; worker "{workers[1]}"; worker "{workers[2]}"; worker "{workers[3]}" }}
"""


def signature(properties, body):
    """The signature of docs/amqp.md, "The user of a call"."""
    headers = properties["headers"]
    parts = ["pipithub-v1", headers["pipithub-key-id"], headers["pipithub-user"], str(headers["pipithub-sent-ms"]),
             "calls", properties["message_id"], headers["pipithub-class"], "", headers["pipithub-function"], "",
             properties["reply_to"], properties["correlation_id"]]
    text = b"".join(struct.pack(">Q", len(part.encode())) + part.encode() for part in parts)
    return hmac.new(KEY, text + hashlib.sha256(body).digest(), hashlib.sha256).hexdigest()


def play(case):
    broker = case.emulated_broker("calls")
    workers = [Worker(case, f"worker {number}") for number in range(4)]
    for name, text in (("tree.ldif", TREE.encode()), ("desk.key", KEY)):
        with open(case.path(name), "wb") as file:
            file.write(text)
    directory = f"127.0.0.1:{free_port()}"
    case.start("directory", ["emulator", "directory", "--tree", case.path("tree.ldif"), "--listen", directory])
    wait_for(directory)
    settings, front_ends = {}, {}
    for number in range(FRONT_ENDS):
        name = f"fe-{number}"
        settings[name] = SETTINGS.format(name=name, max_age=MAX_AGE, key=case.path("desk.key"), directory=directory,
                                         broker=broker, workers=[worker.address for worker in workers])
        front_ends[name] = case.gateway(name, settings[name])
    desk = Mailbox(case, broker, "desk")

    def call(booking, attempt, work_ms):
        """Each try of a booking is a message of its own, signed anew."""
        name = f"{booking} try {attempt}"
        body = json.dumps({"work_ms": work_ms, "token": booking}).encode()
        properties = {"message_id": name, "correlation_id": name, "reply_to": desk.client.reply_queue,
                      "delivery_mode": 2,
                      "headers": {"pipithub-class": "visit-assign", "pipithub-function": "rosters",
                                  "pipithub-user": "mai", "pipithub-key-id": "desk",
                                  "pipithub-sent-ms": int(time.time() * 1000)}}
        properties["headers"]["pipithub-signature"] = signature(properties, body)
        desk.publish("calls", name, properties, body)
        return name

    warm_up = []
    for number in range(18):
        warm_up.append(call(f"warm-up-{number}", 1, 50))
        time.sleep(0.05)
    desk.wait(warm_up, GIVE_UP)
    if not all(desk.answered(name) and desk.answered(name)[0]["verdict"] == "served" for name in warm_up[9:]):
        raise NotRunnable("the front ends do not serve")
    bookings = [f"booking-{number}" for number in range(CALLS)]
    first = []
    for booking in bookings:
        first.append(call(booking, 1, 3000))
        time.sleep(0.02)
    time.sleep(MAX_AGE + 0.3)
    if case.trouble:
        case.kill("fe-1", front_ends["fe-1"])
    desk.wait(first, 4)
    ran_before = {run["token"] for worker in workers for run in worker.runs}
    # What is refused did not run, says the page, so that it is safe to try again.
    refused = [b for b, name in zip(bookings, first) if any(a["verdict"] == "refused" for a in desk.answered(name))]
    again = [call(booking, 2, 50) for booking in refused]
    if case.trouble:
        case.gateway("fe-1", settings["fe-1"])
    desk.wait(again, GIVE_UP + SLACK)

    runs = [run["token"] for worker in workers for run in worker.runs]
    twice = [booking for booking in bookings if runs.count(booking) > 1]
    wrongly = [booking for booking in refused if booking in ran_before]
    faults = []
    if wrongly:
        faults.append(f"{len(wrongly)} of {CALLS} calls that must never run twice were refused although they ran: {wrongly}")
    if twice:
        faults.append(f"{len(twice)} bookings took effect twice, after their clients tried again: {twice}")
    return faults


main(FOLDER, play)
