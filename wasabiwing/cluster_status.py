"""Reads the status of all controllers, waits for an outcome, watches changes.

``wasabictl`` uses this module. The controllers of the settings name all live
members, and each live member is then asked for its own status.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from enum import unique

from anyio import CapacityLimiter
from anyio import create_task_group
from msgspec.json import decode
from result import Err
from result import Ok
from result import Result

from wasabiwing.configuration import Configuration
from wasabiwing.decoding import UNDECODABLE
from wasabiwing.http_client import HttpClient
from wasabiwing.status import RolloutState
from wasabiwing.status import RolloutStatus
from wasabiwing.status import StatusDocument
from wasabiwing.timers import TimerService

WAIT_POLL_S = 0.1

WATCH_POLL_S = 1.0

STATUS_TIMEOUT_S = 2.0

# Controllers that are asked at the same time.
CONCURRENT_CALLS = 32


@dataclass(frozen=True, slots=True)
class ClusterStatus:
    """The answers of all controllers that were asked."""

    document_by_url: dict[str, StatusDocument]
    # Why there is no answer, by address.
    failure_by_url: dict[str, str]

    @property
    def rollouts(self) -> tuple[RolloutStatus, ...]:
        """The newest reported status of each pool's rollout.

        All controllers reach the same result in the end. Until then an
        outcome takes precedence over "running", and a rollback over "done".
        """
        newest_by_pool: dict[str, RolloutStatus] = {}
        order = list(RolloutState)
        for document in self.document_by_url.values():
            for item in document.rollouts:
                known = newest_by_pool.get(item.pool)
                key = (item.generation, order.index(item.state))
                if known is None or key > (
                    known.generation,
                    order.index(known.state),
                ):
                    newest_by_pool[item.pool] = item
        return tuple(item for _, item in sorted(newest_by_pool.items()))


@unique
class ApplyState(StrEnum):
    """How an apply ended, or that it has not ended yet."""

    DONE = "done"
    ROLLED_BACK = "rolled back"
    NOT_YET = "not yet"


@dataclass(frozen=True, slots=True)
class ApplyOutcome:
    """Result of waiting for the end of an apply."""

    state: ApplyState
    # Live members that were asked.
    member_count: int
    # Reasons of a rollback, or what is still missing.
    lines: tuple[str, ...] = ()


async def read_status(
    client: HttpClient, urls: Iterable[str]
) -> ClusterStatus:
    """Asks the given controllers, and through them all live members."""
    document_by_url: dict[str, StatusDocument] = {}
    failure_by_url: dict[str, str] = {}
    limiter = CapacityLimiter(CONCURRENT_CALLS)

    async def read_document(url: str) -> None:
        async with limiter:
            answer = await _read_document(client, url)
        if isinstance(answer, Ok):
            document_by_url[url] = answer.ok_value
        else:
            failure_by_url[url] = answer.err_value

    async def read_documents(wanted_urls: set[str]) -> None:
        async with create_task_group() as tasks:
            for url in sorted(wanted_urls):
                tasks.start_soon(read_document, url)

    seeds = set(urls)
    await read_documents(seeds)
    live = {
        f"http://{member.status_address}"
        for document in document_by_url.values()
        for member in document.members
        if member.is_live and member.status_address
    }
    await read_documents(live - seeds)
    if live:
        # A controller of the settings that is not a live member is left out.
        failure_by_url = {
            url: detail
            for url, detail in failure_by_url.items()
            if url in live
        }
    return ClusterStatus(
        dict(sorted(document_by_url.items())),
        dict(sorted(failure_by_url.items())),
    )


async def wait_outcome(
    client: HttpClient,
    timer: TimerService,
    urls: tuple[str, ...],
    configuration: Configuration,
    generation: int,
    timeout_s: float,
) -> ApplyOutcome:
    """Waits until all live members have a generation and rollouts end."""
    deadline = timer.now() + timeout_s
    while True:
        status = await read_status(client, urls)
        outcome = assess_outcome(status, configuration, generation)
        if outcome.state is not ApplyState.NOT_YET:
            return outcome
        if timer.now() >= deadline:
            return outcome
        await timer.sleep(WAIT_POLL_S)


def assess_outcome(
    status: ClusterStatus, configuration: Configuration, generation: int
) -> ApplyOutcome:
    """Returns how far a generation has been applied."""
    # A member may be reachable under an address of the settings as well.
    node_ids = {item.node_id for item in status.document_by_url.values()}
    count = len(node_ids) + len(status.failure_by_url)
    rollout_by_pool = {
        item.pool: item
        for item in status.rollouts
        if item.generation >= generation
    }
    rolled_back = tuple(
        f"pool {item.pool}: {item.reason}"
        for item in rollout_by_pool.values()
        if item.state is RolloutState.ROLLED_BACK
    )
    if rolled_back:
        return ApplyOutcome(ApplyState.ROLLED_BACK, count, rolled_back)
    missing = [
        f"{document.node_id} has generation {document.generation}"
        for document in status.document_by_url.values()
        if document.generation < generation
    ]
    missing += [
        f"{url} does not answer: {detail}"
        for url, detail in status.failure_by_url.items()
    ]
    if not status.document_by_url:
        missing.append("no controller answers")
    for pool in configuration.pools:
        if pool.rollout is None:
            continue
        known = rollout_by_pool.get(pool.id)
        if known is None:
            missing.append(f"pool {pool.id}: no outcome of its rollout")
        elif known.state is not RolloutState.DONE:
            missing.append(f"pool {pool.id}: {known.state} {known.reason}")
    if missing:
        return ApplyOutcome(ApplyState.NOT_YET, count, tuple(missing))
    return ApplyOutcome(ApplyState.DONE, count)


async def watch_changes(
    client: HttpClient, timer: TimerService, urls: tuple[str, ...]
) -> AsyncIterator[str]:
    """Yields a line for each change of members and generations."""
    shown: dict[str, str] = {}
    while True:
        current = _summary(await read_status(client, urls))
        for name in sorted({*shown, *current}):
            text = current.get(name, "gone")
            if shown.get(name) != text:
                yield f"{name}: {text}"
        shown = current
        await timer.sleep(WATCH_POLL_S)


def describe_status(status: ClusterStatus) -> list[str]:
    """Returns the lines that ``wasabictl status`` prints."""
    return [f"{name}: {text}" for name, text in _summary(status).items()]


def _summary(status: ClusterStatus) -> dict[str, str]:
    text_by_name: dict[str, str] = {}
    for url, document in status.document_by_url.items():
        heard = "" if document.connected else " isolated"
        text_by_name[f"{document.availability_zone} {document.node_id}"] = (
            f"generation {document.generation}{heard} {url}"
        )
    answered = {item.node_id for item in status.document_by_url.values()}
    for document in status.document_by_url.values():
        for member in document.members:
            if member.node_id not in answered:
                name = f"{member.availability_zone} {member.node_id}"
                text_by_name[name] = member.state
    for url, detail in status.failure_by_url.items():
        text_by_name[url] = f"no answer {detail}"
    for item in status.rollouts:
        text_by_name[f"rollout {item.pool}"] = (
            f"{item.state} {item.reason}".rstrip()
        )
    return dict(sorted(text_by_name.items()))


async def _read_document(
    client: HttpClient, url: str
) -> Result[StatusDocument, str]:
    reply = await client.send(
        "GET", f"{url}/v1/status", timeout_s=STATUS_TIMEOUT_S
    )
    if isinstance(reply, Err):
        return Err(str(reply.err_value))
    try:
        return Ok(decode(reply.ok_value.body, type=StatusDocument))
    except UNDECODABLE as error:
        return Err(str(error))
