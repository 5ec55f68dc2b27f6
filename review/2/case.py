"""A removal of a node's registration is carried out late, after the node has registered again."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from fleet import CannotRun, play  # noqa: E402

SERVICE = "stoc"
OTHER_SERVICE = "tal"
NODES = "wingspar-nodes"
# `platform_lost` with `late` in the site file: seconds; carried out 1 to 6 s later. At most 0.35 of the writes.
LOST_SHARE, LOST_FOR_S, LATE_FROM_S, LATE_TO_S = 0.35, 4.5, 1.0, 6.0
# `node_freeze` in the site file: 0.11 of the machines (here 1 of 10), 3.5 s at most.
FROZEN_S = 3.0


async def case(fleet):
    zones = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"]
    machines = [(f"stoc-{index + 1}", zone, SERVICE) for index, zone in enumerate(zones)]
    machines += [(f"tal-{index + 1}", zones[index % 4], OTHER_SERVICE) for index in range(6)]
    routes = [("/deposit/", "non_idempotent", SERVICE), ("/check/", "idempotent", OTHER_SERVICE)]
    await fleet.start(machines, {SERVICE: True, OTHER_SERVICE: False}, routes)
    await fleet.wait("all nodes are registered", 20, lambda: registered(fleet) == {m.name for m in fleet.machines})
    chance = random.Random(60)
    await asyncio.sleep(3)
    rolled = next(m for m in fleet.machines if m.service == SERVICE and m is not fleet.leader())
    writes = {"all": 0, "lost": 0, "from": None, "late": None}
    again = asyncio.Event()

    def loses(method, kind, name):
        """The answer to the removal of the rolled node's registration is lost, and it is carried out late."""
        fleet.write(f"the store gets {method} {kind}/{name}")
        now = fleet.record.now()
        if method == "POST" and name == rolled.name:
            again.set()
        if writes["from"] is None and method == "DELETE" and fleet.trouble:
            writes["from"] = now
        if writes["from"] is None or now > writes["from"] + LOST_FOR_S:
            return None
        writes["all"] += 1
        if writes["lost"] > 0:
            return None
        writes["lost"] += 1
        fleet.write("its answer is lost; it is carried out late")
        return carried_out_late(now)

    async def carried_out_late(sent_at):
        await asyncio.sleep(LATE_FROM_S)
        await again.wait()
        await asyncio.sleep(0.1)
        late = fleet.record.now() - sent_at
        fleet.write(f"the lost removal is carried out {late:.2f} s later")
        writes["late"] = late

    fleet.store.loses = loses

    async def one():
        up = [m for m in fleet.machines if m.process.poll() is None]
        await fleet.request(chance.choice(up), "/deposit/1", key=chance.randrange(65536))

    async def events():
        await asyncio.sleep(1)
        await fleet.roll(rolled)
        given = asyncio.Event()
        rolled.target.on_new_keys = lambda target, low, high: given.set()
        await asyncio.wait_for(given.wait(), 20)
        rolled.target.on_new_keys = None
        if fleet.trouble and (writes["late"] is None or writes["late"] > LATE_TO_S
                              or writes["lost"] > LOST_SHARE * writes["all"]):
            raise CannotRun("what was lost lies outside the limits of the pages")
        # The rolling restart goes on with the machine that leads.
        leader = fleet.leader()
        fleet.write(f"{rolled.name} has keys again, {leader.name} leads, registered are {sorted(registered(fleet))}; "
                    f"lost were {writes['lost']} of {writes['all']} writes")
        steps = [fleet.roll(leader)]
        if fleet.trouble:
            steps.append(fleet.freeze(rolled, FROZEN_S))
        await asyncio.gather(*steps)
        await asyncio.sleep(5)

    load = asyncio.ensure_future(fleet.load(20, 30, one))
    await events()
    load.cancel()
    found = fleet.overlaps(SERVICE)
    for begin, end, low, high, first, second in found:
        fleet.write(f"keys {low}-{high} are held by {first.life} (fence {first.fence}) and {second.life} "
                    f"(fence {second.fence}) from {begin:.3f} to {end:.3f}: {end - begin:.3f} s")
    served = sum(1 for _, status in fleet.answers if status == 200)
    fleet.write(f"{served} of {len(fleet.answers)} requests got 200")
    return bool(found)


def registered(fleet):
    """Names of the nodes that the store has registered."""
    return {name for kind, name in fleet.store.objects if kind == NODES}


play(FOLDER, case)
