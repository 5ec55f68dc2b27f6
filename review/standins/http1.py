"""A small HTTP/1.1 server and client on loopback, for the stand-ins."""

import asyncio


class Message:
    """A request or an answer: its first line's words, headers in lower case, and body."""

    def __init__(self, words, headers, body):
        self.words = words
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Reads one message; None if the peer has closed the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0].split(" ", 2), headers, body)


async def read_body(reader, headers):
    """Reads the body that the headers announce."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def encode_answer(status, headers=None, body=b""):
    """The bytes of an answer."""
    head = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in (headers or {}).items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves `handler(request, connection)`, which returns (status, headers, body) or None to close."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.connections = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        connection = {"writer": writer, "last_answer": None}
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                # A handler goes on when its caller leaves: what was sent may be carried out all the same.
                answer = await asyncio.shield(asyncio.ensure_future(self.handler(request, connection)))
                if answer is None:
                    return
                connection["last_answer"] = encode_answer(*answer)
                writer.write(connection["last_answer"])
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """Stops listening and cuts all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


async def call(ip, port, method, path, headers=None, body=b"", timeout=2.0):
    """Makes one call on a connection of its own; None if there is no whole answer in time."""
    try:
        return await asyncio.wait_for(exchange(ip, port, method, path, headers or {}, body), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


async def exchange(ip, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        if "Host" not in headers:
            lines.append(f"Host: {ip}:{port}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()
