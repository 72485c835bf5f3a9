"""One message of an unknown class is published under its user's name to a queue with a dead-letter exchange."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "gateway"))
from broker import Broker  # noqa: E402
from harness import Mailbox, Worker, free_port, main, wait_for  # noqa: E402

FRONT_ENDS = 3
GIVE_UP = 5.0  # Of both classes, in seconds.
SLACK = 0.5
TREE = """dn: dc=example
objectClass: domain

dn: ou=campus,dc=example
objectClass: organizationalUnit

dn: uid=mai,ou=campus,dc=example
objectClass: person
uid: mai

dn: uid=lan,ou=campus,dc=example
objectClass: person
uid: lan
"""
SETTINGS = """
front-end "{name}" peers=3
class "roster-view" {{ effect "safe"; aim "1s"; give-up "5s"; late-worth 0.3 }}
class "visit-assign" {{ effect "unsafe"; aim "750ms"; give-up "5s"; late-worth 0.3 }}
directory "campus" {{ server "{directory}"; tls "none"; base "dc=example" }}
tenant "campus" {{ directory "campus" base="ou=campus,dc=example"; function "rosters" }}
admission {{ identity-wait "500ms" }}
amqp "main" {{
    address "{broker}"
    login user="gateway" password="g" vhost="/"
    queue "calls" {{ prefetch 200; lanes 4; identity "broker"; dead-letter exchange="" key="calls.dead" }}
}}
workers {{ worker "{worker1}"; worker "{worker2}" }}
"""


def play(case):
    users = {"gateway": "g", "mai": "m", "lan": "l"}
    broker = Broker(users, ["calls", "calls.dead"], case.record)
    workers = [Worker(case, "worker 1"), Worker(case, "worker 2")]
    tree = case.path("tree.ldif")
    with open(tree, "w") as file:
        file.write(TREE)
    directory = f"127.0.0.1:{free_port()}"
    case.start("directory", ["emulator", "directory", "--tree", tree, "--listen", directory])
    wait_for(directory)
    for number in range(FRONT_ENDS):
        case.gateway(f"fe-{number}", SETTINGS.format(
            name=f"fe-{number}", directory=directory, broker=broker.address, worker1=workers[0].address,
            worker2=workers[1].address))
    mai = Mailbox(case, broker.address, "mai", user="mai", password="m")
    lan = Mailbox(case, broker.address, "lan", user="lan", password="l")

    def call(mailbox, number, user_class, user):
        properties = {"message_id": f"{user}-{number}", "user_id": user, "delivery_mode": 2,
                      "headers": {"pipithub-class": user_class, "pipithub-function": "rosters"}}
        mailbox.publish("calls", f"{user}-{number}", properties, b'{"work_ms": 50, "token": "%d"}' % number)
        return f"{user}-{number}"

    # The front ends look each user up once.
    warm_up = [call(mai, number, "roster-view", "mai") for number in range(9)]
    mai.wait(warm_up, 6)
    expected = []
    for number in range(100, 140):
        expected.append(call(mai, number, ["roster-view", "visit-assign"][number % 2], "mai"))
        if number == 110 and case.trouble:
            call(lan, 1, "roster-veiw", "lan")
        time.sleep(0.2)
    mai.wait(expected, GIVE_UP + SLACK)
    if case.trouble:
        lan.wait(["lan-1"], GIVE_UP + SLACK)
    for number in range(FRONT_ENDS):
        case.record_log(f"fe-{number}", 4)
    case.record(f"ready in the queue 'calls': {broker.depth('calls')}, in 'calls.dead': {broker.depth('calls.dead')}")

    faults = []
    silent = [c for c in expected if not any(a["after"] <= GIVE_UP + SLACK for a in mai.answered(c))]
    if silent:
        faults.append(f"{len(silent)} of {len(expected)} valid calls got no answer within {GIVE_UP} s: {silent}")
    doubled = [c for c in expected if len(mai.answered(c)) > 1]
    if doubled:
        faults.append(f"{len(doubled)} valid calls got two answers: {doubled}")
    if case.trouble and not lan.answered("lan-1"):
        faults.append("the message that cannot be read got no answer")
    return faults


main(FOLDER, play)
