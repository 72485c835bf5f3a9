"""Users of two tenants number their messages by themselves; one of three front ends is killed while calls run."""
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "gateway"))
from broker import Broker  # noqa: E402
from harness import Mailbox, Worker, free_port, main, wait_for  # noqa: E402

FRONT_ENDS = 3
CALLS = 16
GIVE_UP = 5.0  # In seconds.
SLACK = 0.5
TENANTS = {"mai": "north", "lan": "south"}
TREE = """dn: dc=example
objectClass: domain

dn: ou=north,dc=example
objectClass: organizationalUnit

dn: ou=south,dc=example
objectClass: organizationalUnit

dn: uid=mai,ou=north,dc=example
objectClass: person
uid: mai

dn: uid=lan,ou=south,dc=example
objectClass: person
uid: lan
"""
SETTINGS = """
front-end "{name}" peers=3
class "roster-view" {{ effect "safe"; aim "1s"; give-up "5s"; late-worth 0.3 }}
directory "campus" {{ server "{directory}"; tls "none"; base "dc=example" }}
tenant "north" {{ directory "campus" base="ou=north,dc=example"; function "north-*" }}
tenant "south" {{ directory "campus" base="ou=south,dc=example"; function "south-*" }}
admission {{ identity-wait "500ms" }}
amqp "main" {{
    address "{broker}"
    login user="gateway" password="g" vhost="/"
    queue "calls" {{ prefetch 200; lanes 16; identity "broker" }}
}}
workers {{ worker "{worker1}"; worker "{worker2}" }}
"""


def play(case):
    broker = Broker({"gateway": "g", "mai": "m", "lan": "l"}, ["calls"], case.record)
    workers = [Worker(case, "worker 1"), Worker(case, "worker 2")]
    tree = case.path("tree.ldif")
    with open(tree, "w") as file:
        file.write(TREE)
    directory = f"127.0.0.1:{free_port()}"
    case.start("directory", ["emulator", "directory", "--tree", tree, "--listen", directory])
    wait_for(directory)
    settings, front_ends = {}, {}
    for number in range(FRONT_ENDS):
        name = f"fe-{number}"
        settings[name] = SETTINGS.format(name=name, directory=directory, broker=broker.address,
                                         worker1=workers[0].address, worker2=workers[1].address)
        front_ends[name] = case.gateway(name, settings[name])
    mailboxes = {user: Mailbox(case, broker.address, user, user=user, password=user[0]) for user in TENANTS}

    def call(user, number, work_ms):
        """Each user's system numbers its messages from 1 on; the correlation id names the user too."""
        correlation = f"{user}-{number}"
        properties = {"message_id": str(number), "user_id": user, "delivery_mode": 2,
                      "headers": {"pipithub-class": "roster-view",
                                  "pipithub-function": f"{TENANTS[user]}-rosters"}}
        body = json.dumps({"work_ms": work_ms, "token": correlation}).encode()
        mailboxes[user].publish("calls", correlation, properties, body)
        return user, correlation

    # The front ends look the users up, and learn that the functions are loaded.
    expected = []
    for number in range(1, 13):
        expected += [call(user, number, 50) for user in TENANTS]
        time.sleep(0.1)
    for user, correlation in expected:
        mailboxes[user].wait([correlation], 2)
    # The two systems do not act in step.
    calls = [(user, number) for number in range(13, 13 + CALLS) for user in TENANTS]
    random.Random(7).shuffle(calls)
    for user, number in calls:
        expected.append(call(user, number, 900))
        time.sleep(0.01)
    time.sleep(0.2)
    if case.trouble:
        case.kill("fe-1", front_ends["fe-1"])
        time.sleep(3)
        case.gateway("fe-1", settings["fe-1"])
    for user, correlation in expected:
        mailboxes[user].wait([correlation], max(0, mailboxes[user].published[correlation] + GIVE_UP + SLACK
                                                - time.monotonic()))

    foreign, silent, doubled = [], [], []
    for user, correlation in expected:
        answers = mailboxes[user].answered(correlation)
        if not any(answer["after"] <= GIVE_UP + SLACK for answer in answers):
            silent.append(correlation)
        if len(answers) > 1:
            doubled.append(correlation)
        for answer in answers:
            if answer["verdict"] == "served" and json.loads(answer["body"])["token"] != correlation:
                foreign.append(f"{correlation} got {answer['body'].decode()}")
    faults = []
    if foreign:
        faults.append(f"{len(foreign)} of {len(expected)} calls got the answer to a call of the other tenant: {foreign}")
    if silent:
        faults.append(f"{len(silent)} of {len(expected)} calls got no answer within {GIVE_UP} s: {silent}")
    if doubled:
        faults.append(f"{len(doubled)} calls got two answers: {doubled}")
    return faults


main(FOLDER, play)
