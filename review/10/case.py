"""The queue is deleted while calls from it run, and is declared again three seconds later."""
import json
import os
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "gateway"))
from amqp_client import short_str, table  # noqa: E402
from harness import Mailbox, Worker, main  # noqa: E402

FRONT_ENDS = 3
CALLS = 12
GIVE_UP = 5.0  # Of both classes, in seconds.
SLACK = 0.5
SETTINGS = """
front-end "{name}" peers=3
class "roster-view" {{ effect "safe"; aim "1s"; give-up "5s"; late-worth 0.3 }}
class "visit-assign" {{ effect "unsafe"; aim "750ms"; give-up "5s"; late-worth 0.3 }}
amqp "main" {{
    address "{broker}"
    queue "calls" {{ prefetch 200; lanes 16 }}
}}
workers {{ worker "{workers[0]}"; worker "{workers[1]}"; worker "{workers[2]}"; worker "{workers[3]}" }}
"""


def play(case):
    broker = case.emulated_broker("calls")
    workers = [Worker(case, f"worker {number}") for number in range(4)]
    for number in range(FRONT_ENDS):
        case.gateway(f"fe-{number}", SETTINGS.format(name=f"fe-{number}", broker=broker,
                                                     workers=[worker.address for worker in workers]))
    desk = Mailbox(case, broker, "desk")
    operator = Mailbox(case, broker, "operator")

    def call(number, work_ms):
        name = f"desk-{number}"
        user_class = ["roster-view", "visit-assign"][number // 3 % 2]
        desk.publish("calls", name, {"message_id": name, "delivery_mode": 2, "headers": {
            "pipithub-class": user_class, "pipithub-function": "rosters"}},
            json.dumps({"work_ms": work_ms, "token": name}).encode())
        return name

    expected = []
    for number in range(1000, 1018):
        expected.append(call(number, 50))
        time.sleep(0.05)
    desk.wait(expected, GIVE_UP)
    running = []
    for number in range(CALLS):
        running.append(call(number, 700))
        time.sleep(0.01)
    time.sleep(0.25)
    taken = {run["token"] for worker in workers for run in worker.runs}
    if case.trouble:
        case.record("operator: deletes the queue 'calls'")
        operator.client._method(50, 40, struct.pack(">H", 0) + short_str("calls") + b"\0")
        time.sleep(3)
        case.record("operator: declares the queue 'calls' again")
        operator.client._method(50, 10, struct.pack(">H", 0) + short_str("calls") + struct.pack(">B", 0b00010)
                                + table({}))
        time.sleep(6)
    after = [call(number, 50) for number in range(2000, 2006)]
    desk.wait(running + after, GIVE_UP + SLACK)
    for number in range(FRONT_ENDS):
        case.record_log(f"fe-{number}", 6)

    # Only calls that had begun to run before the queue was deleted are judged, and those after it is back.
    judged = [c for c in running if c in taken] + expected + after
    silent = [c for c in judged if not any(a["after"] <= GIVE_UP + SLACK for a in desk.answered(c))]
    doubled = [c for c in judged if len(desk.answered(c)) > 1]
    faults = []
    if silent:
        faults.append(f"{len(silent)} of {len(judged)} calls that front ends had taken got no answer within {GIVE_UP} s: "
                      f"{silent}")
    if doubled:
        faults.append(f"{len(doubled)} calls got two answers: {doubled}")
    return faults


main(FOLDER, play)
