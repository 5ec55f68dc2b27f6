"""The platform's metadata store: objects with revisions, conditions and watches."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from http1 import Server


class Store:
    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        # Called with (method, kind, name) of each write; returns what to wait for before it is carried out if its answer
        # is lost, else None.
        self.loses = lambda method, kind, name: None

    async def start(self, ip, port):
        await self.server.start(ip, port)

    def put(self, kind, name, spec):
        """Writes an object as the operator or a node does."""
        self.revision += 1
        stored = {
            "meta": {"name": name, "rev": self.revision, "made": 1, "finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = stored
        self.note(kind, stored, False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is None:
            return False
        self.revision += 1
        gone = {**stored, "meta": {**stored["meta"], "rev": self.revision}}
        self.note(kind, gone, True)
        return True

    def note(self, kind, stored, gone):
        self.changes.append((self.revision, kind, {"gone": gone, "object": stored}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, _connection):
        await asyncio.sleep(0.004)
        method, target = request.words[0], request.words[1]
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        words = url.path.strip("/").split("/")
        if words[0] != "objects" or len(words) not in (2, 3):
            return 404, {}, b""
        body = json.loads(request.body) if request.body else {}
        if method != "GET":
            late = self.loses(method, words[1], words[2] if len(words) == 3 else body["meta"]["name"])
            if late is not None:
                await late
                await self.carry_out(method, words, query, body)
                # A connection on which an answer is lost says nothing more.
                await asyncio.Event().wait()
        return await self.carry_out(method, words, query, body)

    async def carry_out(self, method, words, query, body):
        if len(words) == 2:
            return await self.handle_kind(method, words[1], query, body)
        return self.handle_object(method, words[1], words[2], query, body)

    async def handle_kind(self, method, kind, query, body):
        if method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return answer(409, self.objects[kind, name])
            return answer(200, self.put(kind, name, body.get("spec")))
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        after = query.get("after", "")
        names = sorted(name for of, name in self.objects if of == kind and name > after)
        items = [self.objects[kind, name] for name in names]
        return answer(200, {"items": items, "more": False, "at": self.revision})

    async def watch(self, kind, since, wait_ms):
        if since > self.revision:
            return answer(410, None)
        until = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            events = [event for revision, of, event in self.changes if revision > since and of == kind]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return answer(200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def handle_object(self, method, kind, name, query, body):
        known = self.objects.get((kind, name))
        if known is None:
            return answer(404, None)
        if method == "GET":
            return answer(200, known)
        expected = query.get("rev") or body.get("meta", {}).get("rev")
        if expected is not None and int(expected) != known["meta"]["rev"]:
            return answer(409, known)
        if method == "DELETE":
            self.remove(kind, name)
            return answer(200, known)
        return answer(200, self.put(kind, name, body.get("spec")))


def answer(status, value):
    return status, {"Content-Type": "application/json"}, json.dumps(value).encode()
