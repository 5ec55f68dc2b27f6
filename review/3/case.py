"""A node stops as planned while clients that pipeline requests read large answers."""

import asyncio
import os
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from fleet import play  # noqa: E402

SERVICE = "ffeiliau"
# The largest answer to `catalogue-pull`; the largest work on it; the deadline.
ANSWER_BYTES, WORK_S, DEADLINE_S = 540_000, 0.4, 2.0
# Bytes of the body of the request behind it.
BODY_BYTES = 60_000
# A client reads so many bytes a second: a link of 8 Mbit/s.
READS_PER_S = 1_000_000
CLIENTS = 8


async def case(fleet):
    zones = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"]
    machines = [(f"ffeiliau-{index + 1}", zone, SERVICE) for index, zone in enumerate(zones)]
    await fleet.start(machines, {SERVICE: False}, [("/file/", "idempotent", SERVICE)])
    for machine in fleet.machines:
        machine.target.body = lambda life, id: (f"{id} ".encode() * ANSWER_BYTES)[:ANSWER_BYTES]
    await asyncio.sleep(4)
    stopped = fleet.machines[0]
    cut = []

    async def pipeline(number):
        """Sends two idempotent requests on one connection, the second before the first is answered, and reads."""
        ids = [f"p{number}-1", f"p{number}-2"]
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            # "small windows: a peer that does not read holds the writer up"
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
            client.setblocking(False)
            await loop.sock_connect(client, (stopped.ip, 8304))
            sent_at = fleet.record.now()
            head = (f"/file/{number} HTTP/1.1\r\nHost: till.example\r\nX-Wingspar-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                    f"X-Work-S: {WORK_S}\r\n")
            first = f"GET {head}X-Wingspar-Request-Id: {ids[0]}\r\n\r\n".encode()
            second = (f"POST {head}X-Wingspar-Request-Id: {ids[1]}\r\nContent-Length: {BODY_BYTES}\r\n\r\n").encode()
            await loop.sock_sendall(client, first + second + b"b" * BODY_BYTES)
            fleet.write(f"client of {stopped.name} sends {ids[0]} and, behind it, {ids[1]}")
            answers = await read_answers(loop, client)
        took = fleet.record.now() - sent_at
        fleet.write(f"client of {stopped.name} gets for {ids[0]}: {answers[0]}, {took:.2f} s after it was sent")
        ran = any(run[0] == ids[0] for machine in fleet.machines for run in machine.target.runs)
        # What lies behind an answer that closes the connection counts as not read.
        if ran and not answers[0].startswith("whole") and took < DEADLINE_S:
            cut.append(ids[0])

    async def read_answers(loop, client):
        """How the first answer ended."""
        received = b""
        began_at = None
        while True:
            try:
                got = await asyncio.wait_for(loop.sock_recv(client, 16 * 1024), 5)
            except (OSError, asyncio.TimeoutError) as error:
                return [f"{len(received)} bytes, then {error!r}"]
            began_at = began_at or fleet.record.now()
            received += got
            body = received.partition(b"\r\n\r\n")[2]
            status = received.split(b"\r\n")[0].decode()
            if len(body) >= ANSWER_BYTES or (status and not status.endswith("200 OK")):
                return [f"whole, {status}"]
            if not got:
                return [f"{len(received)} bytes, then the end of the connection"]
            await asyncio.sleep(max(0.0, began_at + len(received) / READS_PER_S - fleet.record.now()))

    async def stop():
        if fleet.trouble:
            await fleet.roll(stopped)

    async def clients():
        await asyncio.sleep(1.6)
        reading = []
        for number in range(CLIENTS):
            reading.append(asyncio.ensure_future(pipeline(number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*reading)

    await asyncio.gather(stop(), clients())
    fleet.write(f"{len(cut)} answers of {CLIENTS}, to requests that a target had run, were cut: {cut}")
    return bool(cut)


play(FOLDER, case)
