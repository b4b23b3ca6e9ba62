"""Callers of a soak, which use a connection until it is closed."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from anyio import create_task_group
from anyio import Event
from anyio import sleep
from msgspec import Struct
from msgspec.json import decode
from result import Err

from wasabiwing.codes import RunState
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.http_client import find_header
from wasabiwing.http_client import HttpClient
from wasabiwing_platform_standins.balancer import BalancerStandIn
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.server import plain_answer
from wasabiwing_platform_standins.server import stream_answer
from wasabiwing_soak.crashing_parts import prompt_header
from wasabiwing_soak.crashing_parts import PromptDraw
from wasabiwing_soak.kept_connection import KeptConnection
from wasabiwing_soak.planned_stops import RUN_S_BY_ROUTE
from wasabiwing_soak.planned_stops import run_seconds
from wasabiwing_soak.promises import CallRecord
from wasabiwing_soak.promises import SUCCESS

# The caller's time limit for an answer, in milliseconds.
REQUEST_TIMEOUT_MS = 3000

# Time limits of idle callers, which also send long requests.
IDLE_TIMEOUTS_MS = (3000, 6000, 12_000)

# Time in seconds that an idle caller waits beyond its time limit, and its
# longest pause, which is shorter than the nodes' idle timeout.
IDLE_OVERTIME_S = 1.0
MAX_IDLE_PAUSE_S = 8.0

# Fraction of an idle caller's requests whose body comes after the headers, and
# the longest time between them in seconds.
SLOW_BODY_PROBABILITY = 0.2
MAX_BODY_DELAY_S = 1.5

# Tokens that a stream generates in each second, for the callers that state
# how many they expect.
TOKENS_PER_S = 100

# Time in seconds after which a caller gives up waiting on a connection.
CONNECTION_TIMEOUT_S = 6.0

# Mean pause between two requests of a caller, in seconds.
MEAN_PAUSE_S = 0.03

# Fraction of requests before which a caller picks a node anew although its
# connection works.
RECONNECT_PROBABILITY = 0.05

# Time between two attempts to pick a node while none is ready, in seconds.
NO_NODE_PAUSE_S = 0.1

# Fraction of the requests for each route of the example configuration.
SHARE_BY_ROUTE = {"read": 0.4, "book": 0.3, "chat": 0.3}
STREAM_ROUTES = ("chat", "notes")

# Routes of the requests that are sent to all nodes while some are cut off, and
# their interval at each node in seconds.
FIRST_TRY_ROUTES = ("read", "book", "chat", "notes")
FIRST_TRY_INTERVAL_S = 0.2


class _Problem(Struct, frozen=True):
    run: RunState | None = None


class _Refusal(Struct, frozen=True):
    """The part of a node's error document that callers read."""

    error: _Problem = _Problem()


@dataclass(slots=True)
class SoakCallers:
    """Sends requests and records results until ``stop_requested`` is set."""

    seed: int
    clock: Callable[[], float]
    address_by_node: dict[str, str]
    balancer: BalancerStandIn
    # Draws the prompts of streams; without it, they have none.
    prompts: PromptDraw | None = None
    stop_requested: Event = field(default_factory=Event)
    records: list[CallRecord] = field(default_factory=list)
    # Bodies of the requests of ``send_first_tries``.
    first_tries: set[str] = field(default_factory=set)

    async def run_caller(self, number: int) -> None:
        """Runs one caller, which sends one request after the other."""
        random = Random(f"{self.seed}/{number}")
        client = HttpClient()
        node: str | None = None
        count = 0
        while not self.stop_requested.is_set():
            if node is None or random.random() < RECONNECT_PROBABILITY:
                node = self.balancer.pick_node(random)
            if node is None:
                await sleep(NO_NODE_PAUSE_S)
                continue
            count += 1
            route = random.choices(
                list(SHARE_BY_ROUTE), list(SHARE_BY_ROUTE.values())
            )[0]
            body = f"{route} {self.seed}-{number}-{count}"
            parts: tuple[str, ...] = ()
            if self.prompts is not None and route == "chat":
                parts = self.prompts.draw(random, body)
            keep = await self.send_request(client, node, route, body, parts)
            if not keep:
                node = None
            await sleep(random.expovariate(1 / MEAN_PAUSE_S))
        await client.close()

    async def send_first_tries(self, number: int, seconds: float) -> None:
        """Sends requests to all nodes in turn, whatever becomes of them."""
        random = Random(f"{self.seed}/first/{number}")
        client = HttpClient()
        ends_s = self.clock() + seconds
        count = 0
        async with create_task_group() as tries:
            while self.clock() < ends_s:
                for node in self.address_by_node:
                    count += 1
                    route = random.choice(FIRST_TRY_ROUTES)
                    body = f"{route} {self.seed}-first-{number}-{count}"
                    self.first_tries.add(body)
                    tries.start_soon(
                        self.send_request, client, node, route, body
                    )
                await sleep(FIRST_TRY_INTERVAL_S)
        await client.close()

    async def run_idle_caller(self, number: int) -> None:
        """Runs a caller that mostly keeps its connection open and idle."""
        random = Random(f"{self.seed}/idle/{number}")
        kept: tuple[str, KeptConnection] | None = None
        count = 0
        while not self.stop_requested.is_set():
            if kept is None:
                kept = await self._open_connection(random)
            if kept is None:
                await sleep(NO_NODE_PAUSE_S)
                continue
            count += 1
            route = random.choice(list(RUN_S_BY_ROUTE))
            body = f"{route} {self.seed}-idle-{number}-{count}"
            timeout_ms = random.choice(IDLE_TIMEOUTS_MS)
            headers = caller_headers(
                body.replace(" ", "-"), timeout_ms=timeout_ms
            )
            if route == "chat" and random.random() < 0.5:
                tokens = round(run_seconds(body.encode()) * TOKENS_PER_S)
                headers["Wasabiwing-Token-Counts"] = f"10,{tokens}"
            body_delay_s = 0.0
            if random.random() < SLOW_BODY_PROBABILITY:
                body_delay_s = random.uniform(0.0, MAX_BODY_DELAY_S)
            node, connection = kept
            sent_s = self.clock() + body_delay_s
            reply = await connection.send(
                f"/{route}/1",
                headers,
                body.encode(),
                timeout_ms / 1000 + IDLE_OVERTIME_S,
                body_delay_s,
            )
            ended_s = self.clock()
            self.records.append(
                _record(
                    node,
                    route,
                    body,
                    min(sent_s, ended_s),
                    ended_s,
                    timeout_ms / 1000 - body_delay_s,
                    reply.status,
                    reply.body,
                    reply.detail,
                )
            )
            pause_s = random.uniform(0.0, MAX_IDLE_PAUSE_S)
            if not (reply.reusable and await connection.stays_open(pause_s)):
                await connection.close()
                kept = None
        if kept is not None:
            await kept[1].close()

    async def _open_connection(
        self, random: Random
    ) -> tuple[str, KeptConnection] | None:
        """Connects to a ready node; returns it and the connection."""
        node = self.balancer.pick_node(random)
        if node is None:
            return None
        connection = await KeptConnection.open(self.address_by_node[node])
        return None if connection is None else (node, connection)

    async def send_request(
        self,
        client: HttpClient,
        node: str,
        route: str,
        body: str,
        parts: tuple[str, ...] = (),
    ) -> bool:
        """Sends one request; returns whether its connection stays open."""
        headers = caller_headers(
            body.replace(" ", "-"), timeout_ms=REQUEST_TIMEOUT_MS
        )
        if parts:
            headers["Wasabiwing-Prompt-Prefix"] = prompt_header(parts)
        sent_s = self.clock()
        reply = await client.send(
            "POST",
            f"http://{self.address_by_node[node]}/{route}/1",
            headers,
            body.encode(),
            CONNECTION_TIMEOUT_S,
        )
        status = 0
        answer = b""
        detail = ""
        if isinstance(reply, Err):
            detail = str(reply.err_value)
        else:
            status = reply.ok_value.status
            answer = reply.ok_value.body
        self.records.append(
            _record(
                node,
                route,
                body,
                sent_s,
                self.clock(),
                REQUEST_TIMEOUT_MS / 1000,
                status,
                answer,
                detail,
                parts,
            )
        )
        if isinstance(reply, Err):
            return False
        return find_header(reply.ok_value.headers, b"connection") != b"close"


def _record(
    node: str,
    route: str,
    body: str,
    sent_s: float,
    ended_s: float,
    timeout_s: float,
    status: int,
    answer: bytes,
    detail: str,
    parts: tuple[str, ...] = (),
) -> CallRecord:
    is_stream = route in STREAM_ROUTES
    stated = status not in (0, SUCCESS)
    return CallRecord(
        body=body,
        repeatable=route not in ("book", "notes"),
        is_stream=is_stream,
        node=node,
        sent_s=sent_s,
        ended_s=ended_s,
        timeout_s=timeout_s,
        status=status,
        answer=answer,
        expected=stream_answer() if is_stream else plain_answer(body.encode()),
        claim=_stated_run_state(answer) if stated else None,
        detail=detail,
        parts=parts,
    )


def _stated_run_state(body: bytes) -> RunState | None:
    """Returns the run state that a node's error document states, if any.

    Errors of servers state none.
    """
    try:
        return decode(body, type=_Refusal).error.run
    except UNDECODABLE:
        return None
