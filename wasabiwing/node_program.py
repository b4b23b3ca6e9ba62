"""Runs a node: opens its sockets, starts its tasks and handles signals."""

from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from signal import SIGHUP

from anyio import create_task_group
from anyio import Event
from anyio import open_signal_receiver

from wasabiwing.asgi import bind_listener
from wasabiwing.asgi import serve_http
from wasabiwing.connection_budget import ConnectionBudget
from wasabiwing.connection_budget import machine_limits
from wasabiwing.error_containment import run_logging_errors
from wasabiwing.events import Event as LogEvent
from wasabiwing.events import log_event
from wasabiwing.header_timeout import header_timeout_protocol
from wasabiwing.header_timeout import PipelineProtocol
from wasabiwing.message_router import MessageRouter
from wasabiwing.metrics import NodeMetrics
from wasabiwing.metrics import show_links
from wasabiwing.nng_transport import open_transport
from wasabiwing.node import Node
from wasabiwing.node import NodePlatform
from wasabiwing.node_settings import NodeSettings
from wasabiwing.readiness_http import readiness_application
from wasabiwing.timers import SystemTimer
from wasabiwing.timers import TimerService

# Time before the kill at which the requests that still run are logged, and
# those without an answer ended, in seconds.
END_UNANSWERED_S = 0.3


async def run_node(
    settings: NodeSettings,
    platform: NodePlatform,
    metrics: NodeMetrics,
    stop: Event,
) -> None:
    """Runs a node until ``stop`` is set and its requests have ended."""
    timer = SystemTimer()
    listener = bind_listener(
        settings.caller_endpoint.host, settings.caller_endpoint.port
    )
    readiness_listener = bind_listener(
        settings.readiness_endpoint.host, settings.readiness_endpoint.port
    )
    relay_listener = None
    if settings.relay_endpoint is not None:
        relay_listener = bind_listener(
            settings.relay_endpoint.host, settings.relay_endpoint.port
        )
    inbox = f"tcp://{settings.inbox}"
    never_stopped = Event()
    async with (
        open_transport(settings.node_id, inbox) as transport,
        create_task_group() as tasks,
    ):
        show_links(metrics.registry, transport)
        node = Node(settings, platform, timer, transport, metrics)
        messages = MessageRouter(settings.node_id, transport)
        node.register(messages)
        budget = ConnectionBudget(
            settings.node_id,
            lambda: node.client_limits,
            machine_limits(settings.memory_mb, settings.max_descriptors),
            metrics.gateway.count_refused_client,
        )
        drained = Event()
        tasks.start_soon(timer.run)
        tasks.start_soon(messages.run)
        tasks.start_soon(node.follower.run)
        tasks.start_soon(
            _drain_when_stopped, settings, timer, node, stop, drained
        )
        tasks.start_soon(
            reload_on_signal, settings.node_id, platform.reload_settings
        )
        tasks.start_soon(
            partial(serve_http, budget=budget),
            readiness_application(node.report_readiness, metrics.registry),
            readiness_listener,
            never_stopped,
        )
        log_event(
            LogEvent.PROGRAM_STARTED,
            settings.node_id,
            program="wasabiwing-node",
            callers=str(settings.caller_endpoint),
            inbox=str(settings.inbox),
            first_start=settings.first_start,
        )
        # Both end once their answers have ended.
        async with create_task_group() as listening:
            if relay_listener is not None:
                listening.start_soon(
                    partial(serve_http, budget=budget),
                    node.caller_http.relay_application(),
                    relay_listener,
                    drained,
                    lambda: node.limits.idle_timeout_s,
                    PipelineProtocol,
                    lambda: max(node.stop_admission.time_left_s, 0.0),
                )
            await serve_http(
                node.caller_http.application(),
                listener,
                drained,
                lambda: node.limits.idle_timeout_s,
                header_timeout_protocol(
                    lambda: node.limits.header_timeout_s, node.log_slow_headers
                ),
                # The time until the kill bounds the answers, and nothing
                # before.
                lambda: max(node.stop_admission.time_left_s, 0.0),
                budget,
            )
        tasks.cancel_scope.cancel()
    log_event(LogEvent.PROGRAM_STOPPED, settings.node_id)


async def _drain_when_stopped(
    settings: NodeSettings,
    timer: TimerService,
    node: Node,
    stop: Event,
    drained: Event,
) -> None:
    await stop.wait()
    log_event(
        LogEvent.PROGRAM_STOPPING,
        settings.node_id,
        running=node.caller_http.running_request_count,
    )
    await node.drain(settings.bounds.stop_grace_s)
    drained.set()
    await timer.sleep(node.stop_admission.time_left_s - END_UNANSWERED_S)
    node.forwarder.log_unfinished()
    node.forwarder.end_unanswered()


async def reload_on_signal(
    node_id: str, reload_settings: Callable[[], Awaitable[None]]
) -> None:
    """Reads the settings again at each SIGHUP, until cancelled."""
    with open_signal_receiver(SIGHUP) as signals:
        async for _ in signals:
            await run_logging_errors(node_id, "settings", reload_settings)
