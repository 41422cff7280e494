"""A small HTTP/1.1 server and client on asyncio, with nothing but the standard library."""

import asyncio
import contextlib
import socket
import struct
import time


class Broken(Exception):
    """The channel ended, or its bytes are no answer."""


class Request:
    """One request as a server has read it."""

    def __init__(self, method, target, fields, body, channel):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.channel = channel
        self.at = time.monotonic()


class Channel:
    """One accepted channel."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.sent = False

    async def answer(self, status, fields=(), body=b""):
        lines = [f"HTTP/1.1 {status} Answer"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def start_chunks(self, status, fields=()):
        lines = [f"HTTP/1.1 {status} Answer"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines.append("Transfer-Encoding: chunked")
        self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
        await self.writer.drain()

    async def chunk(self, data):
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.writer.drain()

    async def end_chunks(self):
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    def close(self):
        self.writer.close()

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0].strip() or b"x", 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


class HttpServer:
    """Serve requests on one address; `handle` is awaited with each request."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._channels = set()
        self._tasks = set()
        self.address = ""

    async def start(self, host, port):
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=512, limit=1 << 20
        )
        ip, bound = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{bound}"

    async def _serve(self, reader, writer):
        channel = Channel(reader, writer)
        self._channels.add(channel)
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = b""
                if fields.get("transfer-encoding", "").lower() == "chunked":
                    body = await read_chunks(reader)
                elif int(fields.get("content-length", "0")):
                    body = await reader.readexactly(int(fields["content-length"]))
                request = Request(method, target, fields, body, channel)
                if await self._handle(request) is False:
                    break
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            ValueError,
            OSError,
        ):
            pass
        finally:
            self._channels.discard(channel)
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def stop(self):
        """End as a process does: nothing listens, and all channels are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for channel in list(self._channels):
            channel.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


class Answer:
    """An answer as a client has read it; `complete` is False if its channel ended."""

    def __init__(self, status, fields, body, complete):
        self.status, self.fields, self.body = status, fields, body
        self.complete = complete


class Client:
    """One kept channel of a client, opened anew where it has ended."""

    def __init__(self, address):
        self.address = address
        self._reader = self._writer = None
        #: Whether the last request went out on a channel that had served one before.
        self.was_kept = False

    async def _open(self):
        ip, _, port = self.address.rpartition(":")
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(
                ip, int(port), limit=1 << 24
            )

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(self, method, target, fields, body=b"", *, timeout=30.0):
        """Send one request; raise Broken if the channel ends before the head."""
        stale = self._reader is not None and (
            self._reader.at_eof() or self._writer.is_closing()
        )
        if stale:
            self.close()
        self.was_kept = self._writer is not None
        if not self.was_kept:
            try:
                await self._open()
            except (OSError, TimeoutError) as exc:
                raise Broken(f"no channel: {exc or 'timeout'}") from exc
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(head + body)
                await self._writer.drain()
                return await self._read()
        except TimeoutError as exc:
            self.close()
            raise Broken("time limit") from exc
        except (OSError, asyncio.IncompleteReadError) as exc:
            self.close()
            raise Broken(f"channel ended: {exc!r}") from exc

    async def _read(self):
        reader = self._reader
        line, fields = await read_head(reader)
        status = int(line.split(" ")[1])
        complete, body = True, b""
        try:
            if fields.get("transfer-encoding", "").lower() == "chunked":
                body = await read_chunks(reader)
            elif "content-length" in fields:
                body = await reader.readexactly(int(fields["content-length"]))
            else:
                body = await reader.read()
        except (asyncio.IncompleteReadError, ValueError, OSError):
            complete = False
        if not complete or "close" in fields.get("connection", "").lower():
            self.close()
        return Answer(status, fields, body, complete)


@contextlib.contextmanager
def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        yield sock.getsockname()[1]


def free_ports(ip, count):
    """Return ports on which nothing listens now."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()
