"""An application target: it holds keys under grants, runs requests and sends heartbeats."""

import asyncio
import json

from http1 import Server, call


class Hold:
    """A range of keys that a target holds from `since` to `until`, unless it is let go sooner."""

    def __init__(self, owner, life, low, high, fence, since, until):
        self.owner = owner
        self.life = life
        self.low = low
        self.high = high
        self.fence = fence
        self.since = since
        self.until = until


class Target:
    """One target; `life` is its id, new at each start."""

    def __init__(self, record, name, service, zone, ip, keyed, capacity=18):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = ip
        self.keyed = keyed
        self.capacity = capacity
        self.lives = 0
        self.life = None
        self.sequence = 0
        self.holds = []
        self.past_holds = []
        self.fences = []
        self.runs = []
        self.running = 0
        self.running_keys = {}
        self.server = None
        self.beating = None
        self.work_s = 0.09
        self.body = lambda life, id: f"done by {life}".encode()
        # Called when an order has arrived, with (target, path, connection); it may return bytes to send first.
        self.on_order = None
        # Called when the target takes keys that it didn't hold, with (target, low, high).
        self.on_new_keys = None
        # Times of all answers, and the leases of released keys as they would have run on: (low, high, until).
        self.answered = []
        self.renewals = 0
        self.released_leases = []

    # --- its life ---

    async def start(self):
        self.lives += 1
        self.life = f"i-{self.name}-{self.lives}"
        self.sequence = 0
        self.fences = []
        self.server = Server(self.handle)
        await self.server.start(self.ip, 8301)
        self.beating = asyncio.create_task(self.beat())
        self.record.write(f"target {self.name} starts as {self.life}")

    def crash(self):
        """Ends without a word."""
        self.beating.cancel()
        self.server.stop()
        now = self.record.now()
        for hold in self.holds:
            hold.until = min(hold.until, now)
        self.past_holds += self.holds
        self.holds = []
        self.running_keys = {}
        self.running = 0
        self.record.write(f"target {self.name} crashes, life {self.life} ends")

    def heartbeat(self):
        """Path and body of its next heartbeat."""
        self.sequence += 1
        body = {
            "address": f"{self.ip}:8301",
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "capacity": self.capacity},
            "status": {"state": "ready", "seq": self.sequence, "warmup_left_s": 0},
        }
        return f"/instances/{self.life}", json.dumps(body).encode()

    async def beat(self):
        while True:
            path, body = self.heartbeat()
            await self.send_heartbeat(path, body)
            await asyncio.sleep(1.3)

    async def send_heartbeat(self, path, body):
        headers = {"Content-Type": "application/json"}
        return await call(self.ip, 8306, "PUT", path, headers, body, timeout=1.0)

    # --- its keys ---

    def let_go_expired(self):
        now = self.record.now()
        self.past_holds += [hold for hold in self.holds if hold.until <= now]
        self.holds = [hold for hold in self.holds if hold.until > now]

    def holds_key(self, key):
        self.let_go_expired()
        return any(hold.low <= key <= hold.high for hold in self.holds)

    def works_under_lease(self, low, high):
        """Requests at work on keys low-high whose lease hasn't run out, or wouldn't have but for a release."""
        now = self.record.now()
        leases = [(hold.low, hold.high, hold.until) for hold in self.holds] + self.released_leases
        return [(id, key) for id, key in self.running_keys.items() if low <= key <= high
                and any(lo <= key <= hi and now < until for lo, hi, until in leases)]

    def all_holds(self):
        return self.past_holds + self.holds

    def grant(self, order):
        low, high, fence = order["from"], order["to_version"], order["fence"]
        if any(known > fence and lo <= high and low <= hi for lo, hi, known in self.fences):
            self.record.write(f"{self.life} refuses grant {low}-{high} fence {fence}: 409")
            return 409, {}, b""
        now = self.record.now()
        self.let_go_expired()
        until = now + order["hold_s"]
        parts = [(low, high)]
        for hold in list(self.holds):
            if hold.high < low or high < hold.low:
                continue
            if hold.fence == fence and low <= hold.low and hold.high <= high:
                hold.until = until
                self.renewals += 1
                self.renewed_at, self.renewed_for_s = now, order["hold_s"]
                parts = [part for piece in parts for part in cut(piece, hold.low, hold.high)]
            else:
                self.split(hold, low, high, now)
        for lo, hi in parts:
            if self.on_new_keys is not None:
                self.on_new_keys(self, lo, hi)
            self.holds.append(Hold(self.name, self.life, lo, hi, fence, now, until))
            self.record.write(f"{self.life} takes keys {lo}-{hi} fence {fence} for {order['hold_s']:.2f} s")
        self.fences.append((low, high, fence))
        return 200, {}, b""

    def split(self, hold, low, high, now):
        """Ends a hold on the part low-high; the rest goes on."""
        self.holds.remove(hold)
        for lo, hi in cut((hold.low, hold.high), low, high):
            self.holds.append(Hold(hold.owner, hold.life, lo, hi, hold.fence, hold.since, hold.until))
        ended = Hold(hold.owner, hold.life, max(hold.low, low), min(hold.high, high), hold.fence, hold.since, now)
        self.past_holds.append(ended)

    async def release(self, order):
        low, high, fence = order["from"], order["to_version"], order["fence"]
        now = self.record.now()
        self.let_go_expired()
        for hold in list(self.holds):
            if hold.low <= high and low <= hold.high:
                self.released_leases.append((max(hold.low, low), min(hold.high, high), hold.until))
                self.split(hold, low, high, now)
        self.fences.append((low, high, fence))
        at_work = sum(1 for key in self.running_keys.values() if low <= key <= high)
        self.record.write(f"{self.life} is told to release {low}-{high} fence {fence}, {at_work} requests at work")
        while any(low <= key <= high for key in self.running_keys.values()):
            await asyncio.sleep(0.005)
        self.record.write(f"{self.life} has released {low}-{high}")
        return 200, {"X-Wingspar-Handover": f"handover-{self.name}-{fence}"}, b""

    # --- its requests ---

    def load(self):
        return {"X-Wingspar-Server-Load": f"{self.running},0,{self.capacity}"}

    async def handle(self, request, connection):
        answer = await self.handle_by_path(request, connection)
        self.answered.append(self.record.now())
        return answer

    async def handle_by_path(self, request, connection):
        path = request.words[1]
        if path == "/healthz":
            return 200, {"X-Wingspar-Instance-Id": self.life, **self.load()}, b""
        if path in ("/grant", "/release"):
            order = json.loads(request.body)
            if self.on_order is not None:
                await self.on_order(self, path, connection)
            return self.grant(order) if path == "/grant" else await self.release(order)
        return await self.run(request)

    async def run(self, request):
        id = request.headers.get("x-wingspar-request-id", "")
        own = {"X-Wingspar-Request-Id": id}
        not_run = {**own, "X-Wingspar-Not-Executed": "1", **self.load()}
        expected = request.headers.get("x-wingspar-expect-instance")
        if expected not in (None, self.life):
            return 421, {**not_run, "X-Wingspar-Instance-Id": self.life}, b""
        key = int(request.headers.get("x-wingspar-shard-key", "-1"))
        if self.keyed and not self.holds_key(key):
            return 421, {**not_run, "X-Wingspar-Instance-Id": self.life}, b""
        if self.running >= self.capacity:
            return 503, not_run, b""
        life = self.life
        self.running += 1
        self.running_keys[id] = key
        began = self.record.now()
        self.record.write(f"{life} begins {id} key {key}")
        work = float(request.headers.get("x-work-s", self.work_s))
        await asyncio.sleep(work)
        if life != self.life or id not in self.running_keys:
            return None
        self.running -= 1
        del self.running_keys[id]
        self.runs.append((id, life, key, began, self.record.now()))
        self.record.write(f"{life} ends {id} key {key}")
        headers = {**own, "X-Wingspar-Response-Signature": f"s.{life}.{id}", **self.load()}
        return 200, headers, self.body(life, id)


def cut(piece, low, high):
    """What is left of a range without low-high."""
    lo, hi = piece
    left = [(lo, low - 1)] if lo < low else []
    right = [(high + 1, hi)] if high < hi else []
    return [piece] if hi < low or high < lo else left + right
