"""BUDGET, a request that crashes servers, on a route that is split over three services: see claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins
from standins import CannotRun, CrashingServer, Node, Store, ask, document, now, pattern, route

SERVICES = ["pledges", "benchmap", "installs"]
# SPLIT=0: the same requests on a route to one of the services.
SPLIT = os.environ.get("SPLIT", "1") != "0"
RUN_S = 60
EVERY_S = 4  # the crashing request comes again
WORK_S = 0.12
TIMEOUT_S = 5
MEMORY_MB = 260
SLOTS, QUEUE, CONNECTIONS = 139, 60, 934
STABLE_WINDOW_S = 3
MAX_LATE = 3


async def ordinary(number, address, end, requests):
    """One client, with one request at a time."""
    turn = 0
    while now() < end:
        name = f"{number:04x}{turn:04x}0000feed"
        turn += 1
        entry = requests[name] = {"sent": now(), "crashes": False}
        path = f"/charge/{name}"
        entry["status"], _ = await ask(
            address, "pledge.example", path, name, pattern(name, 300), TIMEOUT_S
        )
        await asyncio.sleep(0.1)


async def crashing(address, end, requests):
    """The same request again and again: same path, caller and body, each time with its own id."""
    await asyncio.sleep(1)
    turn = 0
    while now() < end - TIMEOUT_S:
        name = f"dead{turn:04x}0000dead"
        turn += 1
        entry = requests[name] = {"sent": now(), "crashes": True}
        body = pattern("crash", 300)
        entry["status"], entry["text"] = await ask(
            address, "pledge.example", "/charge/again", name, body, TIMEOUT_S
        )
        await asyncio.sleep(max(0.0, entry["sent"] + EVERY_S - now()))


async def case(trouble, folder, record):
    net = standins.free_network()
    # One machine with the clients, and two of each service.
    services = ["plaques", *SERVICES, *SERVICES]
    address = [f"127.{net}.1.{machine + 1}" for machine in range(len(services))]
    runs, answered, requests = {}, {}, {}
    store = Store()
    await store.start(f"127.{net}.9.1", 7000)
    entry = route("charge", "pledge.example", "/charge/", "non_idempotent", "pledges", TIMEOUT_S)
    if SPLIT:
        del entry["spec"]["service"]
        entry["spec"]["weighted_backends"] = [
            {"service": service, "weight": 1} for service in SERVICES
        ]
    await store.operator_writes(
        "op/config", document(3, [entry], ["plaques", *SERVICES], CONNECTIONS)
    )
    zones = ["ne-a", "ne-b", "ne-c"]
    nodes = [
        Node(ip, zones[index % 3], zones, f"127.{net}.9.1:7000", service, MEMORY_MB, folder)
        for index, (ip, service) in enumerate(zip(address, services))
    ]
    servers = [
        CrashingServer(
            *(ip, service, SLOTS, QUEUE, lambda _: WORK_S, 1000, runs, answered),
            crashes=lambda name: requests[name]["crashes"],
        )
        for ip, service in zip(address, services)
    ]
    try:
        for node in nodes:
            node.start()
        for server in servers:
            await server.start()
        await asyncio.sleep(6)
        if not all([await node.ready() for node in nodes]):
            raise CannotRun("not all nodes are ready after 6 s")
        begin = now()
        end = begin + RUN_S
        clients = [ordinary(number, address[0], end, requests) for number in range(20)]
        if trouble:
            clients.append(crashing(address[0], end, requests))
        await asyncio.gather(*clients)
        if not all(node.running() for node in nodes):
            raise CannotRun("a node has ended")
    finally:
        for node in nodes:
            node.end()
    return judge(begin, requests, runs, answered, record)


def judge(begin, requests, runs, answered, record):
    crashes = []
    lost, counts = 0, {}
    for name, entry in sorted(requests.items(), key=lambda item: item[1]["sent"]):
        ran = runs.get(name, [])
        if entry["crashes"]:
            crashes += [(at - begin, server, name) for at, server, _ in ran]
            print(
                f"crashing request, sent {entry['sent'] - begin:6.2f}: "
                f"{'ran at ' + ran[0][1] if ran else 'ran nowhere':32} client got "
                f"{entry['status']} {entry['text'].split(chr(10))[0][:40]}"
            )
        else:
            lost += bool(ran) and name not in answered
            counts[entry["status"]] = counts.get(entry["status"], 0) + 1
        times = " ".join(f"{at - begin:.3f}={server}" for at, server, _ in ran)
        record.write(
            f"{name} sent {entry['sent'] - begin:.3f}; answer {entry['status']}; "
            f"ran {times or 'nowhere'}\n"
        )
    crashes.sort()
    late = []
    if len(crashes) >= 3:
        third = crashes[2][0]
        late = [crash for crash in crashes[3:] if crash[0] > third + STABLE_WINDOW_S]
    print(f"answers of the other requests: {counts}; {lost} of them ran at a server that crashed")
    print(
        f"the crashing request crashed {len(crashes)} servers, {len(late)} of them in retries later "
        f"than {STABLE_WINDOW_S} s after the third; {MAX_LATE} such retries may reach a server"
    )
    record.write(f"late: {len(late)} {' '.join(name for _, _, name in late)}\n")
    return len(late) <= MAX_LATE


sys.exit(standins.main(case))
