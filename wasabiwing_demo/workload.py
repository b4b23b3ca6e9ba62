"""Open-loop workload of the demo: quotes, chats and bookings.

Each answer is compared with the text that the engine stand-ins generate for
its prompt, and each booking with the desk's ledger, so that the tallies count
lost, cut and doubled requests.
"""

from dataclasses import dataclass
from random import Random
from typing import Any

from anyio import create_task_group
from anyio import sleep
from msgspec import DecodeError
from msgspec.json import decode
from msgspec.json import encode
from result import Err

from wasabiwing.http_client import HttpClient
from wasabiwing.ports import HttpReply
from wasabiwing_demo.deployment import EntryVm
from wasabiwing_standins.desk import DeskLedger
from wasabiwing_standins.engine import answer_text

REQUEST_TIMEOUT_S = 30.0

HTTP_OK = 200

ORGANISATIONS = ("north-haul", "bay-landscaping", "pine-gardens")

# Prefix that all prompts share, as site notes of one yard do.
SHARED_PREFIX = "Site notes for the lake road yard. " * 40


@dataclass(slots=True)
class Tally:
    """Numbers of requests of one phase by outcome."""

    phase: str
    sent: int = 0
    whole: int = 0
    # Refused with the statement that the request has not run.
    not_run: int = 0
    # Failed with the statement that the request may have run.
    may_have_run: int = 0
    # Without an answer, or with one that is not whole.
    lost: int = 0
    doubled: int = 0
    # Bookings that the desk has run although the refusal says ``not_run``.
    false_not_run: int = 0


class Workload:
    """Sends a fixed mix of requests through several entry VMs."""

    def __init__(
        self,
        client: HttpClient,
        vms: list[EntryVm],
        ledger: DeskLedger,
        random: Random,
    ) -> None:
        self._client = client
        self._vms = vms
        self._ledger = ledger
        self._random = random
        self._bookings = 0

    async def run(self, phase: str, requests: int, duration_s: float) -> Tally:
        """Sends requests at even intervals and waits for their answers."""
        tally = Tally(phase)
        async with create_task_group() as tasks:
            for number in range(requests):
                vm = self._vms[number % len(self._vms)]
                organisation = self._random.choice(ORGANISATIONS)
                tally.sent += 1
                if number % 5 == 4:
                    self._bookings += 1
                    key = f"booking-{self._bookings}"
                    tasks.start_soon(self._book, vm, organisation, key, tally)
                else:
                    model = "quote" if number % 2 else "yard-chat"
                    text = f"{SHARED_PREFIX} {phase} {number}"
                    tasks.start_soon(
                        self._generate, vm, organisation, model, text, tally
                    )
                await sleep(duration_s / requests)
        return tally

    async def _generate(
        self,
        vm: EntryVm,
        organisation: str,
        model: str,
        text: str,
        tally: Tally,
    ) -> None:
        max_tokens = self._random.randint(10, 60)
        reply = await self._send(
            vm,
            organisation,
            "/v1/chat/completions",
            {
                "model": model,
                "messages": [{"role": "user", "content": text}],
                "max_tokens": max_tokens,
            },
        )
        if reply is None:
            tally.lost += 1
        elif reply.status != HTTP_OK:
            _count_refusal(reply, tally)
        elif _content(reply) == answer_text(text, max_tokens):
            tally.whole += 1
        else:
            tally.lost += 1

    async def _book(
        self, vm: EntryVm, organisation: str, key: str, tally: Tally
    ) -> None:
        reply = await self._send(
            vm, organisation, "/orders/drops", {"bags": 2}, key
        )
        runs = self._ledger.runs_by_key[f"{organisation}/{key}"]
        if runs > 1:
            tally.doubled += 1
        if reply is None:
            tally.lost += 1
        elif reply.status == HTTP_OK and runs == 1:
            tally.whole += 1
        elif reply.status == HTTP_OK:
            tally.lost += 1
        elif _count_refusal(reply, tally) and runs:
            tally.false_not_run += 1

    async def _send(
        self,
        vm: EntryVm,
        organisation: str,
        path: str,
        document: dict[str, Any],
        key: str = "",
    ) -> HttpReply | None:
        headers = {"Authorization": f"Bearer demo-token-{organisation}"}
        if key:
            headers["Idempotency-Key"] = key
        reply = await self._client.send(
            "POST",
            vm.url + path,
            headers,
            encode(document),
            REQUEST_TIMEOUT_S,
        )
        return None if isinstance(reply, Err) else reply.ok_value


def _content(reply: HttpReply) -> str:
    try:
        document = decode(reply.body)
        return str(document["choices"][0]["message"]["content"])
    except (DecodeError, KeyError, IndexError):
        return ""


def _count_refusal(reply: HttpReply, tally: Tally) -> bool:
    """Counts a refusal; returns whether it says ``not_run``."""
    run_state = ""
    for name, value in reply.headers:
        if name.lower() == b"x-run-state":
            run_state = value.decode()
    if run_state == "not_run":
        tally.not_run += 1
        return True
    tally.may_have_run += 1
    return False
