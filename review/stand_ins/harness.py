"""Stand-ins and helpers for the review's scripts.

Store, API for duties, workers and consumers run in the script's process; the
nodes are separate processes, started with the command of the deploy file.
Everything listens on loopback. Only the standard library is used.
"""

from asyncio import CancelledError
from asyncio import create_subprocess_exec
from asyncio import create_task
from asyncio import current_task
from asyncio import Event
from asyncio import get_running_loop
from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import run
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import Task
from asyncio import TimeoutError as AsyncTimeoutError
from asyncio import wait_for
from asyncio.subprocess import Process
from base64 import b64decode
from base64 import b64encode
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
import json
from os import environ
from pathlib import Path
from random import randrange
from signal import SIGINT
from signal import SIGKILL
from signal import SIGTERM
from socket import AF_INET
from socket import SO_REUSEADDR
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from sys import exit as exit_process
from tempfile import TemporaryDirectory
from time import monotonic
from time import time
from traceback import print_exc
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote

HOST = "127.0.0.1"
HOST_NAME = "desk.example"
ROOT = Path(__file__).resolve().parent.parent.parent

# First ports of nodes, below those that Linux gives to outgoing connections.
NODE_PORTS = (15_000, 30_000)

# Exit statuses of a script.
HELD = 0
BROKEN = 1
NOT_RUN = 2

# Bounds of both sites of the users' pages, in seconds.
CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
USAGE_WINDOW_S = 5.0
USAGE_LATE_S = 10.0

HEARTBEAT_S = 1.2
START_TIMEOUT_S = 30.0

# Longest time of a script, in seconds; what it started is ended after it.
SCRIPT_TIMEOUT_S = 110.0

CLOSED = (ConnectionError, IncompleteReadError, OSError)

# Whether the disruption is played.
TROUBLE = environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, as lines of ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at = monotonic()

    def note(self, text: str) -> None:
        """Writes a line with the seconds since the script's start."""
        passed_s = monotonic() - self._began_at
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


@dataclass(slots=True)
class HttpMessage:
    """A request or answer that was read whole."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: StreamReader) -> HttpMessage:
    """Reads the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return HttpMessage(lines[0], headers)


async def read_request(reader: StreamReader) -> HttpMessage:
    """Reads a whole request."""
    message = await read_head(reader)
    length = int(message.headers.get("content-length", "0"))
    message.body = await reader.readexactly(length)
    return message


@dataclass(slots=True)
class Answer:
    """A consumer's answer and how it ended."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Whether length, last chunk, or a FIN where neither was stated, says
    # that the answer is whole.
    looks_complete: bool = False
    problem: str = ""


async def read_answer(reader: StreamReader) -> Answer:
    """Reads an answer to its end as RFC 9112, section 6.3, states it."""
    answer = Answer()
    try:
        head = await read_head(reader)
        answer.status, answer.headers = head.status, head.headers
        if "chunked" in head.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in head.headers:
            length = int(head.headers["content-length"])
            answer.body = await reader.readexactly(length)
        else:
            while part := await reader.read(65536):
                answer.body += part
        answer.looks_complete = True
    except (*CLOSED, ValueError, IndexError) as error:
        answer.problem = repr(error)
    return answer


class Consumer:
    """Sends requests to a node, each on a new connection."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._number = 0

    async def send(
        self,
        address: str,
        path: str,
        method: str = "POST",
        body: bytes = b"order",
        key: str = "key-north",
        timeout_ms: int = 5000,
        headers: dict[str, str] | None = None,
        body_after_s: float = 0.0,
    ) -> tuple[str, Answer]:
        """Sends a request; returns its attempt id and the answer.

        The body follows the head after ``body_after_s`` seconds.
        """
        self._number += 1
        attempt_id = f"attempt-{self._number}"
        host, port = address.split(":")
        sent = {
            "Host": HOST_NAME,
            "Wasabiwing-Attempt-Id": attempt_id,
            "Wasabiwing-Deadline-Ms": str(timeout_ms),
            "Authorization": f"Bearer {key}",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in sent.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        self._record.note(f"consumer sends {attempt_id} {path} to {address}")
        answer = Answer()
        try:
            reader, writer = await open_connection(host, int(port))
            writer.write(head.encode("latin-1"))
            if body_after_s:
                await sleep(body_after_s)
            writer.write(body)
            answer = await wait_for(
                read_answer(reader), timeout_ms / 1000 + 2.0
            )
            writer.close()
        except (*CLOSED, AsyncTimeoutError) as error:
            answer.problem = repr(error)
        self._record.note(
            f"consumer got {attempt_id} status {answer.status}"
            f" bytes {len(answer.body)}"
            f" complete {answer.looks_complete} {answer.problem}"
        )
        return attempt_id, answer


class Listener:
    """A listening server whose connections can be ended."""

    def __init__(self) -> None:
        self.address = ""
        self.writers: set[StreamWriter] = set()
        self._server: Any = None

    async def listen(self, port: int = 0) -> None:
        """Listens at a free port, or at a given one."""
        self._server = await start_server(self._accept, HOST, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def close(self) -> None:
        """Stops listening and closes all connections, as an exit does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.close()

    async def _accept(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        self.writers.add(writer)
        # Tasks of connections still wait when the script ends.
        with suppress(*CLOSED, CancelledError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        with suppress(RuntimeError):
            writer.close()

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError


@dataclass(slots=True)
class Item:
    """A key's value in the store."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class StoredLease:
    """A lease of the store."""

    ttl_s: float
    ends_at: float


# Decides what happens to a call: ``None`` for nothing special.
CallFault = Callable[[HttpMessage, dict[str, Any]], "str | None"]


class Store(Listener):
    """The platform's metadata store as the users' pages describe it.

    ``fault`` is asked for each call. It returns ``lost`` if the call is
    carried out and its answer is lost, ``late:S`` if it is carried out S
    seconds later and has no answer. A connection on which an answer is lost
    returns nothing further.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.revision = 10
        self.items: dict[str, Item] = {}
        self.leases: dict[int, StoredLease] = {}
        self._next_lease = 100
        self._history: list[tuple[int, dict[str, Any]]] = []
        self._changed = Event()
        self.fault: CallFault = lambda request, document: None
        # Connections that have gone silent.
        self._silent: set[StreamWriter] = set()
        self._waiting_watches: set[StreamWriter] = set()
        self._tasks: list[Task[None]] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item."""
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known.created
        self.items[key] = Item(value, self.revision, created, lease)
        self._publish(self._document(key))

    def put_json(self, key: str, document: object) -> None:
        """Writes an item as the operator or a worker does."""
        self.put(key, json.dumps(document).encode())

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def silence_connections(self) -> int:
        """Lets all open connections go silent; new ones work."""
        self._silent |= self.writers
        return len(self._silent)

    def cut_watches(self) -> int:
        """Closes the connections on which watches wait."""
        cut = list(self._waiting_watches)
        for writer in cut:
            writer.close()
        return len(cut)

    def _publish(self, event: dict[str, Any]) -> None:
        self._history.append((self.revision, event))
        self._changed.set()
        self._changed = Event()

    def _document(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def expire(self) -> None:
        """Ends the leases whose time is over."""
        for lease_id, lease in list(self.leases.items()):
            if lease.ends_at <= monotonic():
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        for key, item in list(self.items.items()):
            if item.lease == lease_id:
                self.remove(key)

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        while True:
            request = await read_request(reader)
            if writer in self._silent:
                await sleep(3600)
            document = json.loads(request.body or b"{}")
            fault = self.fault(request, document)
            if fault is not None and fault.startswith("late:"):
                delay_s = float(fault.removeprefix("late:"))
                self._tasks.append(
                    create_task(self._carry_out_later(request, delay_s))
                )
                await sleep(3600)
            self.expire()
            path, _, query = request.target.partition("?")
            if path == "/kv-watch":
                self._waiting_watches.add(writer)
                try:
                    status, answer = await self._watch(query)
                finally:
                    self._waiting_watches.discard(writer)
            else:
                status, answer = self._call(request, path, query, document)
            if fault == "lost" or writer in self._silent:
                await sleep(3600)
            body = json.dumps(answer).encode()
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Store-Era: 1\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()

    async def _carry_out_later(
        self, request: HttpMessage, delay_s: float
    ) -> None:
        await sleep(delay_s)
        path, _, query = request.target.partition("?")
        document = json.loads(request.body or b"{}")
        self.expire()
        status, _ = self._call(request, path, query, document)
        self._record.note(f"store carries out {path} late: {status}")

    async def _watch(self, query: str) -> tuple[int, Any]:
        values = parse_qs(query, keep_blank_values=True)
        prefix = values["pathPrefix"][0]
        after = int(values["after"][0])
        until = monotonic() + int(values["waitMs"][0]) / 1000
        if after > self.revision:
            return 410, {"error": "gone"}
        while True:
            self.expire()
            events = [
                event
                for revision, event in self._history
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = until - monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with suppress(AsyncTimeoutError):
                await wait_for(self._changed.wait(), min(left_s, 0.25))

    def _call(
        self,
        request: HttpMessage,
        path: str,
        query: str,
        document: dict[str, Any],
    ) -> tuple[int, Any]:
        values = parse_qs(query, keep_blank_values=True)
        if path == "/kv-key":
            key = values["key"][0]
            if key not in self.items:
                return 404, {"asOf": self.revision}
            return 200, {**self._document(key), "asOf": self.revision}
        if path == "/kv-range":
            return self._range(values)
        if path == "/kv-txn":
            return self._transact(document)
        if path == "/kv-lease":
            self._next_lease += 1
            ttl_s = document["ttlMs"] / 1000
            self.leases[self._next_lease] = StoredLease(
                ttl_s, monotonic() + ttl_s
            )
            return 200, {"lease": self._next_lease, "ttlMs": ttl_s * 1000}
        lease_id = int(unquote(path.rpartition("/")[2]) or "0")
        lease = self.leases.get(lease_id)
        if lease is None:
            return 404, {"error": "no such lease"}
        if path.startswith("/kv-keep/"):
            lease.ends_at = monotonic() + lease.ttl_s
            return 200, {"ttlMs": lease.ttl_s * 1000}
        self._end_lease(lease_id)
        return 200, {}

    def _range(self, values: dict[str, list[str]]) -> tuple[int, Any]:
        prefix = values["pathPrefix"][0]
        after = values.get("after", [""])[0]
        keys = [
            key
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return 200, {
            "items": [self._document(key) for key in keys[:500]],
            "hasMore": len(keys) > 500,
            "asOf": self.revision,
        }

    def _transact(self, document: dict[str, Any]) -> tuple[int, Any]:
        for expected in document.get("expect", ()):
            key = expected["key"]
            found = self.items[key].revision if key in self.items else 0
            if found != expected["revision"]:
                return 412, {
                    "items": [self._document(key)] if key in self.items else []
                }
        writes = document.get("writes", ())
        for write in writes:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {"error": "no such lease"}
        for write in writes:
            self.put(
                write["key"],
                b64decode(write["value"]),
                write.get("lease") or 0,
            )
        for key in document.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


@dataclass(frozen=True, slots=True)
class UsageReport:
    """A usage report that the platform has accepted."""

    window: int
    counts: dict[str, int]
    holder: str
    accepted_at: float


class Cloud(Listener):
    """The platform's API for duties; it accepts no lower epoch number."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.usage: list[UsageReport] = []
        self._highest_by_subject: dict[str, int] = {}

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        while True:
            request = await read_request(reader)
            document = json.loads(request.body)
            holder = request.headers.get("wasabiwing-duty-holder", "")
            fence = int(request.headers.get("wasabiwing-fence-token", "0"))
            subject = "usage"
            if request.target != "/usage":
                subject = f"{document['service']} {document['zone']}"
            status = 409
            if fence >= self._highest_by_subject.get(subject, 0):
                status = 200
                self._highest_by_subject[subject] = fence
                if request.target == "/usage":
                    self.usage.append(
                        UsageReport(
                            document["window"],
                            document["counts"],
                            holder,
                            time(),
                        )
                    )
            self._record.note(
                f"platform answers {status} to {request.target} of {holder}"
                f" epoch {fence} {request.body.decode()}"
            )
            writer.write(
                f"HTTP/1.1 {status} X\r\n".encode()
                + b"Content-Length: 2\r\n\r\n{}"
            )
            await writer.drain()


@dataclass(slots=True)
class Run:
    """A request that a worker has run."""

    worker: str
    attempt_id: str
    path: str
    body: bytes
    began_at: float


# Answers one request that runs; returns whether the connection is kept.
Handler = Callable[[HttpMessage, StreamWriter], Awaitable[bool]]


class Worker(Listener):
    """A worker that runs every request and answers it, unless told else."""

    def __init__(self, worker_id: str, service: str, record: Record) -> None:
        super().__init__()
        self.id = worker_id
        self.service = service
        self._record = record
        self.runs: list[Run] = []
        self.work_s = 0.02
        self.handler: Handler | None = None
        self.born_ms = int(time() * 1000)
        self.sequence = 0

    def entry(self, **fields: object) -> dict[str, object]:
        """Returns the worker's entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": self.born_ms,
            **fields,
        }

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        while True:
            request = await read_request(reader)
            expected = request.headers.get("wasabiwing-expect-instance")
            if expected not in (None, self.id):
                await self.answer(request, writer, 421, b"", stamped=False)
                continue
            if request.target == "/health":
                await self.answer(request, writer, 200, b"", stamped=False)
                continue
            self.note_run(request)
            if self.handler is not None:
                if not await self.handler(request, writer):
                    return
                continue
            await sleep(self.work_s)
            await self.answer(request, writer, 200, b"done " + request.body)

    def note_run(self, request: HttpMessage) -> None:
        """Records that a request has begun to run."""
        entry = Run(
            self.id,
            request.headers.get("wasabiwing-attempt-id", ""),
            request.target,
            request.body,
            monotonic(),
        )
        self.runs.append(entry)
        self._record.note(
            f"{self.id} runs {entry.attempt_id} {entry.path}"
            f" body {entry.body[:40]!r}"
        )

    async def answer(
        self,
        request: HttpMessage,
        writer: StreamWriter,
        status: int,
        body: bytes,
        stamped: bool = True,
        more: str = "",
    ) -> None:
        """Sends a whole answer with its length."""
        attempt_id = request.headers.get("wasabiwing-attempt-id", "")
        stamp = "Wasabiwing-Response-Stamp: 3e1b.07\r\n" if stamped else ""
        head = (
            f"HTTP/1.1 {status} X\r\nWasabiwing-Attempt-Id: {attempt_id}\r\n"
            f"{stamp}{more}Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()


def reserve_ports(count: int) -> int:
    """Returns the first of some adjacent free ports.

    Outgoing connections get none of them before the node listens.
    """
    while True:
        first = randrange(*NODE_PORTS)
        sockets: list[socket] = []
        try:
            for offset in range(count):
                reserved = socket(AF_INET, SOCK_STREAM)
                reserved.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
                sockets.append(reserved)
                reserved.bind((HOST, first + offset))
            return first
        except OSError:
            continue
        finally:
            for reserved in sockets:
                reserved.close()


class Node:
    """A node, started with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, zone: str) -> None:
        self.name = name
        self._folder = folder
        self._zone = zone
        first = reserve_ports(4)
        self.front = f"{HOST}:{first}"
        self._ready = f"{HOST}:{first + 1}"
        self._ports = f"{first + 2},{first + 3}"
        self._process: Process | None = None

    def write_settings(self, store: str, cloud: str) -> None:
        """Writes the settings file in the platform's format."""
        fields = {
            "nodeName": self.name,
            "role": "node",
            "ip": HOST,
            "zone": self._zone,
            "region": "region-1",
            "zones.zone-a": "region-1",
            "zones.zone-b": "region-1",
            "listen.front": self.front,
            "listen.ready": self._ready,
            "portRange": self._ports,
            "bootstrap": "true",
            "heartbeatMs": "1200",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.configApplyMs": "2000",
            "bounds.retryRatio": "0.2",
            "bounds.retryWindowS": "10",
            "bounds.retrySlack": "54",
            "bounds.quotaWindowS": "8",
            "bounds.quotaExcess": "0.1",
            "bounds.quotaSlack": "110000",
            "bounds.requireFence": "true",
            "bounds.leaseMs": "3000",
            "bounds.usageWindowS": "5",
            "bounds.usageLateS": "10",
            "platform.address": store,
            "platform.ttlMinMs": "1000",
            "cloudApi.address": cloud,
            "cloudApi.duties": "metering,autoscale",
        }
        text = "".join(f"{name}={fields[name]}\n" for name in fields)
        (self._folder / f"{self.name}.conf").write_text(text)

    async def start(self) -> None:
        """Starts a process of the node."""
        log = (self._folder / f"{self.name}.log").open("ab")
        self._process = await create_subprocess_exec(
            "python3",
            "platform/run_node.py",
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **environ,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "WASABIWING_CONFIG": str(self._folder / f"{self.name}.conf"),
            },
        )
        log.close()

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        await self._end(SIGKILL)

    async def terminate(self) -> None:
        """Asks the process to stop and waits for its end."""
        await self._end(SIGTERM)

    async def _end(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Whether the node's readiness page answers 200."""
        host, port = self._ready.split(":")
        try:
            reader, writer = await open_connection(host, int(port))
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await wait_for(read_answer(reader), 1.0)
            writer.close()
            return answer.status == 200
        except (*CLOSED, AsyncTimeoutError):
            return False

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> bool:
        """Waits until the node is ready; returns whether it is."""
        until = monotonic() + timeout_s
        while monotonic() < until:
            if await self.is_ready():
                return True
            await sleep(0.05)
        return False


def route(name: str, kind: str, service: str, **more: object) -> object:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 15_000,
        "targetLatencyMs": 1000,
        "priority": 0,
        "maxAttempts": 2,
        **more,
    }


def configuration(version: int, **more: object) -> dict[str, object]:
    """Returns a configuration with a plain and a streaming service."""
    return {
        "version": version,
        "routes": [
            route("status", "idempotent", "desk"),
            route("book", "non_idempotent", "desk"),
            route("chat", "stream", "models", streamResume=True),
        ],
        "services": [
            {"name": "desk", "maxConns": 100},
            {
                "name": "models",
                "maxConns": 360,
                "engine": {"slots": 64, "kvCapacity": 475_895},
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "north", "apiKeys": ["key-north"]}],
        **more,
    }


class Site:
    """A small deployment: store, API for duties, workers and nodes."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.cloud = Cloud(record)
        self.consumer = Consumer(record)
        self.nodes: list[Node] = []
        self.workers: dict[str, Worker] = {}
        # Ids of the workers that write heartbeats.
        self.registered: set[str] = set()
        self._tasks: list[Task[None]] = []

    async def begin(self) -> None:
        """Starts store, API and heartbeats."""
        await self.store.listen()
        await self.cloud.listen()
        self._tasks.append(create_task(self._beat()))

    async def add_worker(self, worker_id: str, service: str) -> Worker:
        """Starts a worker and writes its entry."""
        worker = Worker(worker_id, service, self.record)
        await worker.listen()
        self.workers[worker_id] = worker
        self.register(worker)
        return worker

    def register(self, worker: Worker, **fields: object) -> None:
        """Writes a worker's entry."""
        self.registered.add(worker.id)
        self.store.put_json(f"servers/{worker.id}", worker.entry(**fields))

    def remove_entry(self, worker: Worker) -> None:
        """Removes a worker's entry; the worker goes on."""
        self.registered.discard(worker.id)
        self.store.remove(f"servers/{worker.id}")

    async def _beat(self) -> None:
        while True:
            for worker_id in sorted(self.registered):
                await sleep(HEARTBEAT_S / max(len(self.registered), 1))
                if worker_id in self.registered:
                    self.register(self.workers[worker_id])
            if not self.registered:
                await sleep(HEARTBEAT_S)

    async def start_nodes(self, count: int) -> bool:
        """Starts some nodes; returns whether all of them are ready."""
        for number in range(count):
            node = Node(
                f"front-{number + 1}",
                self.folder,
                f"zone-{'ab'[number % 2]}",
            )
            node.write_settings(self.store.address, self.cloud.address)
            self.nodes.append(node)
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                self.record.note(f"{node.name} did not become ready")
                return False
        return True

    async def end(self) -> None:
        """Ends all processes that the site has started."""
        for node in self.nodes:
            await node.kill()
        for task in self._tasks:
            task.cancel()
        for listener in (self.store, self.cloud, *self.workers.values()):
            listener.close()
        await sleep(0.1)


def run_case(folder: Path, play: Callable[[Site], Awaitable[int]]) -> None:
    """Plays a case and exits with its status."""
    record = Record(folder)

    async def run_site() -> int:
        task = current_task()
        assert task is not None
        for number in (SIGINT, SIGTERM):
            get_running_loop().add_signal_handler(number, task.cancel)
        with TemporaryDirectory() as temporary:
            site = Site(record, Path(temporary))
            try:
                await site.begin()
                return await wait_for(play(site), SCRIPT_TIMEOUT_S)
            except CancelledError:
                return NOT_RUN
            except Exception:
                print_exc()
                return NOT_RUN
            finally:
                await site.end()
                if keep := environ.get("KEEP_LOGS"):
                    for log in Path(temporary).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())

    status = run(run_site())
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}
    record.note(f"TROUBLE={int(TROUBLE)}: the rule {verdict[status]}")
    print(f"TROUBLE={int(TROUBLE)}: the rule {verdict[status]}")
    exit_process(status)
