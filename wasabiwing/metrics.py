"""Prometheus metrics of one process, in a registry of its own."""

from collections.abc import Callable
from typing import Protocol

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

from wasabiwing.codes import ResultCode
from wasabiwing.server_need import ServerNeed
from wasabiwing.store_eras import era_of
from wasabiwing.store_eras import revision_of

WAIT_BUCKETS_S = (0.01, 0.05, 0.15, 0.5, 1.5, 5.0)
FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.42, 0.8, 1.6, 3.2, 6.4)


LOOP_DELAY_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0)


class LinkCounts(Protocol):
    """What the transport counts of its connections."""

    @property
    def silent_links(self) -> int:
        """Number of destinations that acknowledge nothing."""

    @property
    def longest_silence_s(self) -> float:
        """Longest time for which one of them acknowledges nothing."""

    @property
    def silent_connections(self) -> int:
        """Number of connections that were replaced because of silence."""


def _loop_delay(registry: CollectorRegistry) -> Histogram:
    return Histogram(
        "wasabiwing_loop_delay_seconds",
        "How late ticks were because the event loop was held.",
        buckets=LOOP_DELAY_BUCKETS_S,
        registry=registry,
    )


class GatewayMetrics:
    """Metrics of the data path."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.loop_delay = _loop_delay(self.registry)
        self.requests = Counter(
            "wasabiwing_requests",
            "Requests by route and result code.",
            ("route", "code"),
            registry=self.registry,
        )
        self.attempts = Counter(
            "wasabiwing_attempts",
            "Attempts at backend servers by pool and result code.",
            ("pool", "code"),
            registry=self.registry,
        )
        self.recomputed_tokens = Counter(
            "wasabiwing_recomputed_tokens",
            "Tokens that were computed again, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.first_token = Histogram(
            "wasabiwing_first_token_seconds",
            "Time from accepting a request to its first token.",
            ("route",),
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.running = Gauge(
            "wasabiwing_running_requests",
            "Requests that have no whole answer yet.",
            registry=self.registry,
        )
        self.generation = Gauge(
            "wasabiwing_configuration_generation",
            "Configuration generation in force.",
            registry=self.registry,
        )
        self.unknown_headers = Counter(
            "wasabiwing_unknown_answer_headers",
            "Answers of backend servers with a header that is not read.",
            ("header",),
            registry=self.registry,
        )
        self.answer_ends = Counter(
            "wasabiwing_answer_ends",
            "Answers of backend servers by what proves their end.",
            ("framing",),
            registry=self.registry,
        )
        self.part_refusals = Counter(
            "wasabiwing_part_refusals",
            "Refusals of requests with a quarantined part of a prompt.",
            ("part",),
            registry=self.registry,
        )
        self.clients_refused = Counter(
            "wasabiwing_clients_refused",
            "Clients that were refused or cut at a limit, by cause.",
            ("cause",),
            registry=self.registry,
        )

        self.queue_length = Gauge(
            "wasabiwing_queue_length",
            "Requests that wait for a server, by service.",
            ("service",),
            registry=self.registry,
        )
        self.queue_wait = Histogram(
            "wasabiwing_queue_wait_seconds",
            "Time that requests have waited for a server, by service.",
            ("service",),
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.late_requests = Counter(
            "wasabiwing_late_requests",
            "Requests that were sent as late work, by service.",
            ("service",),
            registry=self.registry,
        )
        self.refusals = Counter(
            "wasabiwing_refusals",
            "Requests that were refused as not run, by service and reason.",
            ("service", "reason"),
            registry=self.registry,
        )

    def show_queue_length(self, service: str, length: int) -> None:
        """Shows how many requests of a service wait for a server."""
        self.queue_length.labels(service).set(length)

    def count_part_refusal(self, part: str) -> None:
        """Counts a refusal for a quarantined part of a prompt."""
        self.part_refusals.labels(part).inc()

    def count_refused_client(self, cause: str) -> None:
        """Counts a client that was refused or cut at a limit."""
        self.clients_refused.labels(cause).inc()

    def count_unknown_header(self, name: str) -> None:
        """Counts an answer with a header that the program does not read."""
        self.unknown_headers.labels(name).inc()


class ControllerMetrics:
    """Metrics of the control plane."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.loop_delay = _loop_delay(self.registry)
        self.generation = Gauge(
            "wasabiwing_configuration_generation",
            "Configuration generation in force.",
            registry=self.registry,
        )
        self.members = Gauge(
            "wasabiwing_members",
            "Controllers known, by state.",
            ("state",),
            registry=self.registry,
        )
        self.sent_bytes = Gauge(
            "wasabiwing_message_bytes_sent",
            "Bytes of messages sent to other processes.",
            registry=self.registry,
        )
        self.received_bytes = Gauge(
            "wasabiwing_message_bytes_received",
            "Bytes of messages received from other processes.",
            registry=self.registry,
        )
        self.dropped_messages = Gauge(
            "wasabiwing_messages_dropped",
            "Messages that could not be sent or decoded.",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "wasabiwing_store_calls",
            "Calls to the key-value service by kind and result code.",
            ("kind", "code"),
            registry=self.registry,
        )
        self.clients_refused = Counter(
            "wasabiwing_clients_refused",
            "Clients that were refused or cut at a limit, by cause.",
            ("cause",),
            registry=self.registry,
        )

    def count_refused_client(self, cause: str) -> None:
        """Counts a client that was refused or cut at a limit."""
        self.clients_refused.labels(cause).inc()

    def count_store_call(self, kind: str, code: ResultCode) -> None:
        """Counts a call to the key-value service."""
        self.store_calls.labels(kind, code.name).inc()


class NodeMetrics:
    """Metrics of a node, which runs data path and control in one process."""

    def __init__(self) -> None:
        self.gateway = GatewayMetrics()
        self.registry = self.gateway.registry
        self.connects = Counter(
            "wasabiwing_server_connects",
            "New connections to backend servers.",
            registry=self.registry,
        )
        self.server_need = Gauge(
            "wasabiwing_server_need",
            "Figures from which the holder orders servers, by service.",
            ("service", "figure"),
            registry=self.registry,
        )
        self.platform_calls = Counter(
            "wasabiwing_platform_calls",
            "Calls to the platform's store by kind and result code.",
            ("kind", "code"),
            registry=self.registry,
        )

        self.store_era = Gauge(
            "wasabiwing_store_era",
            "Era of the newest state of the store that the node knows.",
            registry=self.registry,
        )
        self.store_revision = Gauge(
            "wasabiwing_store_revision",
            "Revision of the newest state of the store that the node knows.",
            registry=self.registry,
        )
        self.store_age = Gauge(
            "wasabiwing_store_age_seconds",
            "Age of what the node knows of the store.",
            registry=self.registry,
        )
        self.statements = Counter(
            "wasabiwing_server_statements",
            "Backend servers that said that they leave or want no requests.",
            ("kind",),
            registry=self.registry,
        )
        self.speed_messages = Counter(
            "wasabiwing_server_speed_messages",
            "Readings of servers' speeds and messages about them, by kind.",
            ("kind",),
            registry=self.registry,
        )

        self.unusable_values = Counter(
            "wasabiwing_unusable_store_values",
            "Values of the store that could not be used, by kind.",
            ("kind",),
            registry=self.registry,
        )

        self.slow_starts = Counter(
            "wasabiwing_slow_starts",
            "Slow starts of backend servers by cause.",
            ("cause",),
            registry=self.registry,
        )

    def count_unusable_value(self, kind: str) -> None:
        """Counts a value of the store that could not be used."""
        self.unusable_values.labels(kind).inc()

    def set_server_need(self, service: str, need: ServerNeed) -> None:
        """Shows why the holder of the duties orders so many servers."""
        figures = need.figures() | {"measured": need.measured}
        for figure, value in figures.items():
            self.server_need.labels(service, figure).set(value)

    def set_store_position(self, position: int) -> None:
        """Shows the newest state of the store that the node knows."""
        self.store_era.set(era_of(position))
        self.store_revision.set(revision_of(position))

    def show_store_age(self, age_s: Callable[[], float]) -> None:
        """Shows the age in seconds that ``age_s`` returns when scraped."""
        self.store_age.set_function(age_s)

    def count_speed_message(self, kind: str) -> None:
        """Counts a reading of a server's speed, or a message about it."""
        self.speed_messages.labels(kind).inc()

    def count_statement(self, kind: str) -> None:
        """Counts a statement of a backend server about itself."""
        self.statements.labels(kind.lower()).inc()

    def count_connect(self, server_id: str) -> None:
        """Counts a new connection to a backend server."""
        self.connects.inc()

    def count_store_call(self, kind: str, code: ResultCode) -> None:
        """Counts a call to the store of the platform."""
        self.platform_calls.labels(kind, code.name).inc()


def show_links(registry: CollectorRegistry, links: LinkCounts) -> None:
    """Shows connections to other processes that are silent, when scraped."""
    silent = Gauge(
        "wasabiwing_silent_links",
        "Processes that acknowledge no messages of this one.",
        registry=registry,
    )
    silent.set_function(lambda: links.silent_links)
    longest = Gauge(
        "wasabiwing_longest_link_silence_seconds",
        "Longest time for which one of them acknowledges nothing.",
        registry=registry,
    )
    longest.set_function(lambda: links.longest_silence_s)
    replaced = Gauge(
        "wasabiwing_silent_connections",
        "Connections to processes that were replaced after a silence.",
        registry=registry,
    )
    replaced.set_function(lambda: links.silent_connections)
