"""Callers of a soak, which use a connection until it is closed."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from anyio import Event
from anyio import sleep
from msgspec import DecodeError
from msgspec import Struct
from msgspec.json import decode
from result import Err
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import RunState
from wasabiwing.http_client import find_header
from wasabiwing.http_client import HttpClient
from wasabiwing.ports import HttpReply
from wasabiwing_platform_standins.balancer import BalancerStandIn
from wasabiwing_platform_standins.examples import caller_headers
from wasabiwing_platform_standins.server import plain_answer
from wasabiwing_platform_standins.server import stream_answer
from wasabiwing_soak.promises import CallRecord

# The caller's time limit for an answer, in milliseconds.
REQUEST_TIMEOUT_MS = 3000

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
    stop_requested: Event = field(default_factory=Event)
    records: list[CallRecord] = field(default_factory=list)

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
            keep = await self.send_request(client, node, route, body)
            if not keep:
                node = None
            await sleep(random.expovariate(1 / MEAN_PAUSE_S))
        await client.close()

    async def send_request(
        self, client: HttpClient, node: str, route: str, body: str
    ) -> bool:
        """Sends one request; returns whether its connection stays open."""
        sent_s = self.clock()
        reply = await client.send(
            "POST",
            f"http://{self.address_by_node[node]}/{route}/1",
            caller_headers(
                body.replace(" ", "-"), timeout_ms=REQUEST_TIMEOUT_MS
            ),
            body.encode(),
            CONNECTION_TIMEOUT_S,
        )
        self.records.append(
            _record(node, route, body, sent_s, self.clock(), reply)
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
    reply: Result[HttpReply, Failure],
) -> CallRecord:
    is_stream = route == "chat"
    status = 0
    answer = b""
    claim = None
    detail = ""
    if isinstance(reply, Err):
        detail = str(reply.err_value)
    else:
        status = reply.ok_value.status
        answer = reply.ok_value.body
        claim = None if status == 200 else _stated_run_state(answer)
    return CallRecord(
        body=body,
        repeatable=route != "book",
        is_stream=is_stream,
        node=node,
        sent_s=sent_s,
        ended_s=ended_s,
        status=status,
        answer=answer,
        expected=stream_answer() if is_stream else plain_answer(body.encode()),
        claim=claim,
        detail=detail,
    )


def _stated_run_state(body: bytes) -> RunState | None:
    """Returns the run state that a node's error document states, if any.

    Errors of servers state none.
    """
    try:
        return decode(body, type=_Refusal).error.run
    except DecodeError:
        return None
