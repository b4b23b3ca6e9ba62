"""Tests of how an HTTP server ends."""

from anyio import create_task_group
from anyio import Event
from anyio import sleep
import pytest
from result import Err

from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import listener_address
from wasabiwing.asgi import Receive
from wasabiwing.asgi import Scope
from wasabiwing.asgi import Send
from wasabiwing.asgi import serve_http
from wasabiwing.http_client import HttpClient

WORK_S = 0.6


async def slow_application(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers after ``WORK_S`` seconds."""
    await sleep(WORK_S)
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"done"})


@pytest.mark.anyio
class TestEndOfServer:
    """Answers that have not ended when a server stops."""

    @pytest.mark.parametrize(
        ("closing_s", "whole"), [(0.2, False), (9.0, True)]
    )
    async def test_an_answer_has_the_time_that_the_program_names(
        self, closing_s: float, whole: bool
    ) -> None:
        """Guards against a limit of the server's own beside the program's."""
        client = HttpClient()
        listener = bind_listener("127.0.0.1", 0)
        stop = Event()
        async with create_task_group() as tasks:

            async def stop_soon() -> None:
                await sleep(WORK_S / 4)
                stop.set()

            async def serve() -> None:
                await serve_http(
                    slow_application,
                    listener,
                    stop,
                    closing_s=lambda: closing_s,
                )

            tasks.start_soon(serve)
            tasks.start_soon(stop_soon)
            reply = await client.send(
                "GET", f"http://{listener_address(listener)}/"
            )
        await client.close()
        assert whole == (not isinstance(reply, Err))
