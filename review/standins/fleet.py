"""A small deployment: processes of the system beside targets, the platform's store, and clients."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from http1 import call
from store import Store
from target import Target

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "wingspar-sidecar")
# Settings as those of the site tegid-gardd.
SETTINGS = """[node]
name = "{name}"
zone = "{zone}"
service = "{service}"
address = "{ip}"
target = "{ip}:8301"
link_mbps = 1000.0
memory_mb = 260
first_start = {first_start}
grants = "rpc"
heartbeat_s = 1.3

[listen]
outbound = "{ip}:8304"
inbound = "{ip}:8300"
ready = "{ip}:8302"
heartbeats = "{ip}:8306"
internal_port = 7620
metrics_port = 7635

[store]
address = "{store}"

[bounds]
drain_s = 2
grace_s = 6
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
max_hold_s = 10
converge_s = 2

[zones]
"neuadd-a" = "cymru-de"
"neuadd-b" = "cymru-de"
"neuadd-c" = "cymru-de"
"neuadd-d" = "cymru-de"
"""


class CannotRun(Exception):
    """The case couldn't be set up."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Machine:
    def __init__(self, name, ip, zone, service):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.target = None
        self.process = None
        self.starts = 0


class Fleet:
    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.mkdtemp(prefix="wingspar-review-")
        self.store = Store()
        self.machines = []
        self.answers = []
        self.sent = 0

    def write(self, text):
        self.record.write(text)

    # --- set-up ---

    async def start(self, machines, services, routes, later=()):
        """Starts everything but the machines named in `later`; `machines` are (name, zone, service), `services` maps a
        name to whether it is keyed."""
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program isn't built")
        network = free_network(len(machines))
        store_ip = f"{network}.200"
        await self.store.start(store_ip, 8309)
        self.store_address = f"{store_ip}:8309"
        self.store.put("config", "main", configuration(3, services, routes))
        for index, (name, zone, service) in enumerate(machines):
            machine = Machine(name, f"{network}.{index + 1}", zone, service)
            machine.target = Target(self.record, name, service, zone, machine.ip, services[service])
            self.machines.append(machine)
        first = [machine for machine in self.machines if machine.name not in later]
        for machine in first:
            self.start_process(machine)
        for machine in first:
            await machine.target.start()
        await self.wait("all processes are ready", 40, self.are_ready)
        keyed = [name for name, is_keyed in services.items() if is_keyed]
        for service in keyed:
            await self.wait(f"all keys of {service} are held", 30, lambda: self.all_held(service))

    def start_process(self, machine):
        settings = os.path.join(self.temporary, f"{machine.name}.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                name=machine.name, zone=machine.zone, service=machine.service, ip=machine.ip,
                store=self.store_address, first_start="true" if machine.starts == 0 else "false"))
        machine.starts += 1
        log = open(os.path.join(self.temporary, f"{machine.name}.log"), "a", encoding="utf-8")
        machine.process = subprocess.Popen(
            [PROGRAM, "--settings", settings], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.write(f"process of {machine.name} starts")

    def kill_process(self, machine):
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()
        self.write(f"process of {machine.name} is killed")

    async def roll(self, machine, back_after=0.5, grace=6.0):
        """Stops a process with SIGTERM and starts it again a little after its end."""
        machine.process.send_signal(signal.SIGTERM)
        self.write(f"process of {machine.name} gets SIGTERM")
        until = self.record.now() + grace
        while machine.process.poll() is None and self.record.now() < until:
            await asyncio.sleep(0.02)
        if machine.process.poll() is None:
            machine.process.kill()
            machine.process.wait()
        self.write(f"process of {machine.name} has ended with {machine.process.returncode}")
        await asyncio.sleep(back_after)
        self.start_process(machine)

    async def freeze(self, machine, seconds):
        """Has a process stand still for a while."""
        machine.process.send_signal(signal.SIGSTOP)
        self.write(f"process of {machine.name} stands still")
        await asyncio.sleep(seconds)
        machine.process.send_signal(signal.SIGCONT)
        self.write(f"process of {machine.name} goes on")

    def leader(self):
        """The machine whose process leads, as the store has it."""
        stored = self.store.objects.get(("wingspar-leadership", "leader"))
        if stored is None:
            return None
        named = stored["spec"]["leader"]["node"]
        return next((machine for machine in self.machines if machine.name == named), None)

    def stop(self):
        """Ends all processes that were started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)

    async def wait(self, what, seconds, holds):
        until = self.record.now() + seconds
        while self.record.now() < until:
            outcome = holds()
            if asyncio.iscoroutine(outcome):
                outcome = await outcome
            if outcome:
                self.write(f"now {what}")
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"not in time: {what}")

    async def start_machine(self, machine):
        """Starts a machine that joins later."""
        machine.starts += 1
        self.start_process(machine)
        await machine.target.start()

    async def are_ready(self):
        for machine in self.machines:
            if machine.process is None:
                continue
            answer = await call(machine.ip, 8302, "GET", "/readyz", timeout=0.5)
            if answer is None or answer.words[1] != "200":
                return False
        return True

    def all_held(self, service):
        targets = [machine.target for machine in self.machines if machine.service == service]
        return all(any(target.holds_key(key) for target in targets) for key in range(0, 65536, 64))

    def owner_of(self, service, key):
        for machine in self.machines:
            if machine.service == service and machine.target.holds_key(key):
                return machine
        return None

    # --- clients ---

    async def request(self, machine, path, method="POST", key=None, work_s=None, deadline_ms=2500, body=b"pay"):
        """One try of a client of that machine; returns (id, status or None)."""
        self.sent += 1
        id = f"r{self.sent:05d}"
        headers = {"Host": "till.example", "X-Wingspar-Request-Id": id, "X-Wingspar-Deadline-Ms": deadline_ms}
        if key is not None:
            headers["X-Wingspar-Shard-Key"] = key
        if work_s is not None:
            headers["X-Work-S"] = work_s
        self.write(f"client of {machine.name} sends {id} {path} key {key}")
        answer = await call(machine.ip, 8304, method, path, headers, body, timeout=deadline_ms / 1000 + 0.5)
        status = int(answer.words[1]) if answer is not None else None
        self.write(f"client of {machine.name} gets {status} for {id}")
        self.answers.append((id, status))
        return id, status

    async def load(self, per_s, seconds, make):
        """Sends `make()` so often for so long."""
        tasks = []
        until = self.record.now() + seconds
        while self.record.now() < until:
            tasks.append(asyncio.create_task(make()))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    # --- the rule ---

    def overlaps(self, service, longest=0.5):
        """Keys that two targets that are up held at the same time for longer than `longest` seconds."""
        holds = [hold for machine in self.machines if machine.service == service
                 for hold in machine.target.all_holds()]
        found = []
        for index, one in enumerate(holds):
            for other in holds[index + 1:]:
                if one.owner == other.owner or one.high < other.low or other.high < one.low:
                    continue
                begin, end = max(one.since, other.since), min(one.until, other.until, self.record.now())
                if end - begin > longest:
                    low, high = max(one.low, other.low), min(one.high, other.high)
                    found.append((begin, end, low, high, one, other))
        return sorted(found, key=lambda found: found[0])


def free_network(machines):
    """Three numbers of loopback addresses of which nothing uses the ports that the machines need."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        hosts = [f"{network}.{number + 1}" for number in range(machines)] + [f"{network}.200"]
        ports = (7620, 7635, 8300, 8301, 8302, 8304, 8306, 8309)
        if all(is_free(host, port) for host in hosts for port in ports):
            return network
    raise CannotRun("no free ports")


def is_free(host, port):
    with socket.socket() as tried:
        tried.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            tried.bind((host, port))
        except OSError:
            return False
    return True


def configuration(version, services, routes):
    """The operator's configuration; `routes` are (prefix, kind, service)."""
    return {
        "version": version,
        "routes": [
            {"name": f"r{index}", "host": "till.example", "path_prefix": prefix, "kind": kind, "timeout_s": 2.4,
             "slo_s": 0.4, "priority": 1, "service": service, "max_attempts": 2}
            for index, (prefix, kind, service) in enumerate(routes)
        ],
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False,
             **({"sharded": True, "warm_s": 3.0, "grants": "rpc"} if keyed else {})}
            for name, keyed in services.items()
        ],
        "limits": {"header_bytes": 16384, "max_body_bytes": 67108864, "header_s": 3, "idle_s": 15},
    }


def play(folder, case):
    """Plays a case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    async def whole():
        fleet = Fleet(folder)
        try:
            fleet.write("with the disruption" if fleet.trouble else "without the disruption (TROUBLE=0)")
            broken = await asyncio.wait_for(case(fleet), 110)
            fleet.write("RULE BROKEN" if broken else "rule held")
            return 1 if broken else 0
        except Exception as error:  # Python's own exit code would be 1, which means that the rule was broken.
            fleet.write(f"the case couldn't run: {error!r}")
            return 2
        finally:
            fleet.stop()

    # Ended from outside: the processes are ended all the same.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(whole())
    except Exception as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
