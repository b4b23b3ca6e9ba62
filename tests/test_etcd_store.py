"""Answers of the etcd gateway that have another form than agreed."""

from base64 import b64encode
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from msgspec.json import encode
import pytest
from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.etcd_store import EtcdStore
from wasabiwing.http_client import HttpClient
from wasabiwing.ports import HttpReply

pytestmark = pytest.mark.anyio

Call = Callable[[EtcdStore], Coroutine[Any, Any, Result[Any, Failure]]]

READS: dict[str, Call] = {
    "get": lambda store: store.get("a"),
    "list_prefix": lambda store: store.list_prefix("a/"),
}

WRITES: dict[str, Call] = {
    "swap": lambda store: store.swap("a", 0, b""),
    "delete": lambda store: store.delete("a", 1),
    "grant_lease": lambda store: store.grant_lease(3.0),
    "keep_alive": lambda store: store.keep_alive(7),
}

ODD_PAIRS = (
    {"key": "a", "value": "", "mod_revision": "1"},
    {"key": "YQ==", "value": "a", "mod_revision": "1"},
    {"key": "YQ==", "value": "", "mod_revision": "9" * 5000},
    {"key": "YQ==", "value": ""},
    {"key": 5, "value": "", "mod_revision": "1"},
    "pair",
)


def answer_with(monkeypatch: pytest.MonkeyPatch, document: object) -> None:
    """Lets all calls of HTTP clients get one answer."""

    async def send(*arguments: object, **named: object) -> Ok[HttpReply]:
        return Ok(HttpReply(200, (), encode(document)))

    monkeypatch.setattr(HttpClient, "send", send)


class TestMalformedAnswers:
    """A malformed answer is a failure and raises nothing."""

    @pytest.mark.parametrize("call", READS.values(), ids=READS)
    @pytest.mark.parametrize("pair", ODD_PAIRS)
    async def test_malformed_base64_ends_a_read(
        self, call: Call, pair: object, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an answer that ends the task of its reader."""
        answer_with(monkeypatch, {"kvs": [pair]})
        found = await call(EtcdStore(("http://store",)))
        assert isinstance(found, Err)
        assert found.err_value.code is ResultCode.STORE_UNAVAILABLE

    @pytest.mark.parametrize("call", WRITES.values(), ids=WRITES)
    @pytest.mark.parametrize(
        "document",
        [
            {"succeeded": True, "header": {}, "ID": "x", "result": 5},
            {"responses": [], "TTL": "soon", "result": {"TTL": "soon"}},
            {"responses": 5, "ID": [], "result": []},
        ],
    )
    async def test_malformed_answer_counts_as_written(
        self, call: Call, document: object, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The change may have been made, which the caller looks up."""
        answer_with(monkeypatch, document)
        written = await call(EtcdStore(("http://store",)))
        assert isinstance(written, Err)
        assert written.err_value.code is ResultCode.STORE_REPLY_LOST

    async def test_key_that_is_no_text_hides_the_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        pairs = [
            {"key": b64encode(key).decode(), "value": "", "mod_revision": "1"}
            for key in (b"\xff", b"b")
        ]
        answer_with(monkeypatch, {"kvs": pairs})
        found = await EtcdStore(("http://store",)).list_prefix("a/")
        assert [stored.key for stored in found.unwrap()] == ["\\xff", "b"]
