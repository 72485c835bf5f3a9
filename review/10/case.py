"""One message names an unknown class of 70,000 bytes, on a queue with a dead-letter exchange."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "gateway"))
from harness import Mailbox, Worker, main  # noqa: E402

FRONT_ENDS = 3
GIVE_UP = 5.0  # Of both classes, in seconds.
SLACK = 0.5
CLASS_BYTES = 70_000
SETTINGS = """
front-end "{name}" peers=3
class "roster-view" {{ effect "safe"; aim "1s"; give-up "5s"; late-worth 0.3 }}
class "visit-assign" {{ effect "unsafe"; aim "750ms"; give-up "5s"; late-worth 0.3 }}
amqp "main" {{
    address "{broker}"
    queue "calls" {{ prefetch 200; lanes 4; dead-letter exchange="" key="calls.dead" }}
}}
workers {{ worker "{worker1}"; worker "{worker2}" }}
"""


def play(case):
    broker = case.emulated_broker("calls")
    workers = [Worker(case, "worker 1"), Worker(case, "worker 2")]
    for number in range(FRONT_ENDS):
        case.gateway(f"fe-{number}", SETTINGS.format(name=f"fe-{number}", broker=broker, worker1=workers[0].address,
                                                     worker2=workers[1].address))
    desk = Mailbox(case, broker, "desk")
    other = Mailbox(case, broker, "other")

    def call(mailbox, number, user_class):
        name = f"{mailbox.name}-{number}"
        mailbox.publish("calls", name, {"message_id": name, "delivery_mode": 2, "headers": {
            "pipithub-class": user_class, "pipithub-function": "rosters"}},
            b'{"work_ms": 50, "token": "%d"}' % number)
        return name

    expected = []
    for number in range(40):
        expected.append(call(desk, number, ["roster-view", "visit-assign"][number % 2]))
        if number == 10 and case.trouble:
            call(other, 1, "x" * CLASS_BYTES)
        time.sleep(0.2)
    desk.wait(expected, GIVE_UP + SLACK)
    if case.trouble:
        other.wait(["other-1"], GIVE_UP + SLACK)
    for number in range(FRONT_ENDS):
        case.record_log(f"fe-{number}", 4)

    faults = []
    silent = [c for c in expected if not any(a["after"] <= GIVE_UP + SLACK for a in desk.answered(c))]
    if silent:
        faults.append(f"{len(silent)} of {len(expected)} valid calls got no answer within {GIVE_UP} s: {silent}")
    doubled = [c for c in expected if len(desk.answered(c)) > 1]
    if doubled:
        faults.append(f"{len(doubled)} valid calls got two answers: {doubled}")
    if case.trouble and not other.answered("other-1"):
        faults.append("the message that cannot be read got no answer")
    return faults


main(FOLDER, play)
