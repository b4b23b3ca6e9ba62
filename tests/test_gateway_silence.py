"""Tests of sound engines that are silent for longer than a gateway's limit."""

import pytest

from tests.examples import Caller
from tests.examples import example_configuration
from tests.examples import running_deployment
from tests.stream_caller import slow_engines
from wasabiwing.http_client import HttpClient

pytestmark = pytest.mark.anyio

CONFIGURATION = example_configuration()


class TestAllEnginesAreSilent:
    """No other engine can carry the request on any sooner."""

    @pytest.mark.parametrize("stream_silence_s", [5.0, 0.3])
    async def test_the_last_attempt_is_not_given_up(
        self, stream_silence_s: float
    ) -> None:
        async with running_deployment(
            CONFIGURATION, 1, stream_silence_s=stream_silence_s
        ) as deployment:
            slow_engines(deployment, decode_s=0.6)
            reply = await Caller(HttpClient()).chat(deployment.vms[0], "drop")
        assert reply.status == 200, reply.body
