"""A heartbeat of another writer arrives at the node beside a target that holds keys."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from fleet import play  # noqa: E402
from http1 import call  # noqa: E402

SERVICE = "stoc"
OTHER_SERVICE = "tal"
# The heartbeat of another writer: version, zone and warmup_left_s are missing. It names no target to use.
OTHERS_ID = "i-another-writer"


async def case(fleet):
    zones = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"]
    machines = [(f"stoc-{index + 1}", zone, SERVICE) for index, zone in enumerate(zones)]
    machines += [(f"tal-{index + 1}", zone, OTHER_SERVICE) for index, zone in enumerate(zones[:2])]
    routes = [("/deposit/", "non_idempotent", SERVICE), ("/check/", "idempotent", OTHER_SERVICE)]
    await fleet.start(machines, {SERVICE: True, OTHER_SERVICE: False}, routes)
    await asyncio.sleep(4)
    chance = random.Random(60)
    hit = fleet.machines[1]
    key = next(hold.low for hold in hit.target.holds)

    async def one():
        machine = chance.choice(fleet.machines)
        await fleet.request(machine, "/deposit/1", key=chance.randrange(65536))

    async def same_key():
        # One customer's deposits, half a second of work each.
        await fleet.request(chance.choice(fleet.machines), "/deposit/2", key=key, work_s=0.5)

    async def trouble():
        await asyncio.sleep(4)
        if not fleet.trouble:
            return
        body = {"address": f"{hit.ip.rsplit('.', 1)[0]}.199:8301",
                "info": {"service": OTHER_SERVICE, "capacity": 18},
                "status": {"state": "ready", "seq": 1}}
        fleet.write(f"another writer's heartbeat to {hit.name}: {json.dumps(body)}")
        answer = await call(hit.ip, 8306, "PUT", f"/instances/{OTHERS_ID}", {"Content-Type": "application/json"},
                            json.dumps(body).encode())
        fleet.write(f"answer to it: {answer.words[1] if answer else None}")

    await asyncio.gather(fleet.load(20, 12, one), fleet.load(4, 12, same_key), trouble())
    found = fleet.overlaps(SERVICE)
    for begin, end, low, high, first, second in found:
        fleet.write(f"keys {low}-{high} are held by {first.life} (fence {first.fence}) and {second.life} "
                    f"(fence {second.fence}) from {begin:.3f} to {end:.3f}: {end - begin:.3f} s")
    runs = [run for machine in fleet.machines for run in machine.target.runs]
    for id, life, run_key, began, ended in runs:
        for other in runs:
            if other[2] == run_key == key and other[1] > life and began < other[4] and other[3] < ended:
                fleet.write(f"key {key} is worked on at once: {id} by {life}, {other[0]} by {other[1]}")
    served = sum(1 for _, status in fleet.answers if status == 200)
    fleet.write(f"{served} of {len(fleet.answers)} requests got 200")
    return bool(found)


play(FOLDER, case)
