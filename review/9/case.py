"""Refused calls are published again under their message ids; one of three front ends is killed while they run."""
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "gateway"))
from harness import Mailbox, NotRunnable, Worker, main  # noqa: E402

FRONT_ENDS = 3
CALLS = 24
GIVE_UP = 4.0  # In seconds.
SLACK = 0.5
WINDOW = 2.5
SETTINGS = """
front-end "{name}" peers=3
class "visit-change" {{ effect "keyed"; group "zone"; dedup-window "2500ms"; aim "1200ms"; give-up "4s"; late-worth 0.1 }}
limits {{ attempts 5 }}
amqp "main" {{
    address "{broker}"
    queue "calls" {{ prefetch 200; lanes 16 }}
}}
workers {{
    worker "{workers[0]}" zone="floor-1"; worker "{workers[1]}" zone="floor-2"; worker "{workers[2]}" zone="floor-3"
    worker "{workers[3]}" zone="floor-1"; worker "{workers[4]}" zone="floor-2"; worker "{workers[5]}" zone="floor-3"
}}
"""


def play(case):
    broker = case.emulated_broker("calls")
    # The workers of one floor drop each other's repeats.
    keys = [{}, {}, {}]
    workers = [Worker(case, f"worker {n} of floor {n % 3 + 1}", window=WINDOW, keys=keys[n % 3]) for n in range(6)]
    settings, front_ends = {}, {}
    for number in range(FRONT_ENDS):
        name = f"fe-{number}"
        settings[name] = SETTINGS.format(name=name, broker=broker, workers=[w.address for w in workers])
        front_ends[name] = case.gateway(name, settings[name])
    client = Mailbox(case, broker, "desk")

    def call(number, attempt, work_ms):
        """The message id is the key of the call, so it stays the same when the call is tried again."""
        correlation = f"change-{number} try {attempt}"
        properties = {"message_id": f"change-{number}", "delivery_mode": 2,
                      "headers": {"pipithub-class": "visit-change", "pipithub-function": "schedule"}}
        client.publish("calls", correlation, properties,
                       json.dumps({"work_ms": work_ms, "token": f"change-{number}"}).encode())
        return correlation

    warm_up = []
    for number in range(1000, 1012):
        warm_up.append(call(number, 1, 50))
        time.sleep(0.05)
    client.wait(warm_up, GIVE_UP)
    for worker in workers:
        worker.full = True
    first = [call(number, 1, 600) for number in range(CALLS)]
    client.wait(first, GIVE_UP + SLACK)
    refused = [n for n, c in enumerate(first) if [a["verdict"] for a in client.answered(c)] == ["refused"]]
    if len(refused) < CALLS / 2:
        raise NotRunnable(f"only {len(refused)} of {CALLS} calls were refused by full workers")
    time.sleep(1)
    for worker in workers:
        worker.full = False
    # Clients wait for a random time before they try again, so the order is another one.
    random.Random(8).shuffle(refused)
    again = []
    for number in refused:
        again.append(call(number, 2, 900))
        time.sleep(0.03)
    time.sleep(0.1)
    if case.trouble:
        case.kill("fe-1", front_ends["fe-1"])
        time.sleep(2)
        case.gateway("fe-1", settings["fe-1"])
    client.wait(again, max(0, max(client.published[c] for c in again) + GIVE_UP + SLACK - time.monotonic()))
    time.sleep(0.5)

    silent = [c for c in again if not any(a["after"] <= GIVE_UP + SLACK for a in client.answered(c))]
    doubled = [c for c in first + again if len(client.answered(c)) > 1]
    faults = []
    if silent:
        faults.append(f"{len(silent)} of {len(again)} calls that were tried again after a refusal got no answer within "
                      f"{GIVE_UP} s: {silent}")
    if doubled:
        faults.append(f"{len(doubled)} calls got two answers: {doubled}")
    return faults


main(FOLDER, play)
