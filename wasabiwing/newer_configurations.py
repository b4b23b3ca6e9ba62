"""Exchanges the configuration in force while the store's cannot be read.

Load pattern: the operator's key holds an unreadable document, and nodes start
meanwhile, one of them or all after a fault. Each node asks one other node a
second, chosen at random, and only a node with a newer version answers. A node
that has missed the last readable version gets it in the same way.
"""

from collections.abc import Callable
from collections.abc import Mapping
from random import Random

from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.fleet_changes import ConfigurationDocument
from wasabiwing.fleet_follower import FleetFollower
from wasabiwing.fleet_follower import FleetView
from wasabiwing.messages import Envelope
from wasabiwing.messages import NewerConfiguration
from wasabiwing.messages import NewerConfigurationRequest
from wasabiwing.messages import NO_VERSION
from wasabiwing.ports import Transport
from wasabiwing.store_cache import compress_value
from wasabiwing.store_cache import decompress_value

# Interval between two requests of a node, in seconds.
CONFIGURATION_REQUEST_PERIOD_S = 1.0


class NewerConfigurations:
    """Asks for newer configurations on one node, and answers other nodes."""

    def __init__(
        self,
        node_id: str,
        transport: Transport,
        inbox_by_id: Callable[[], Mapping[str, str]],
        follower: FleetFollower,
        view: FleetView,
        random: Random,
    ) -> None:
        self._node_id = node_id
        self._transport = transport
        # Inboxes of the other nodes, by node id.
        self._inbox_by_id = inbox_by_id
        self._follower = follower
        self._view = view
        self._random = random
        # The last document that was sent, with its answer.
        self._answered: (
            tuple[ConfigurationDocument, NewerConfiguration] | None
        ) = None

    @property
    def _version(self) -> int:
        configuration = self._view.configuration
        return NO_VERSION if configuration is None else configuration.version

    async def request(self) -> None:
        """Asks another node while the store's cannot be read.

        It is called every ``CONFIGURATION_REQUEST_PERIOD_S``.
        """
        if not self._follower.is_configuration_unreadable:
            return
        inboxes = sorted(self._inbox_by_id().values())
        if inboxes:
            self._transport.send(
                self._random.choice(inboxes),
                NewerConfigurationRequest(self._version),
            )

    async def answer(
        self, envelope: Envelope, request: NewerConfigurationRequest
    ) -> None:
        """Answers a node whose configuration is older."""
        document = self._follower.configuration_document
        if document is None or self._version <= request.version:
            return
        if self._answered is None or self._answered[0] != document:
            content = compress_value(document.value)
            self._answered = (
                document,
                NewerConfiguration(document.key, content),
            )
        self._transport.send(envelope.reply_to, self._answered[1])

    async def receive(
        self, envelope: Envelope, answer: NewerConfiguration
    ) -> None:
        """Puts a newer configuration in force that another node sent."""
        value = decompress_value(answer.content)
        if value is None:
            log_event(
                Event.MESSAGE_DROPPED,
                self._node_id,
                reason="unreadable value",
                detail=f"{answer.key} from {envelope.sender}",
            )
            return
        document = ConfigurationDocument(answer.key, value)
        is_in_force = self._follower.apply_document(document)
        log_event(
            Event.CONFIGURATION_FROM_NODE,
            self._node_id,
            sender=envelope.sender,
            in_force=is_in_force,
            version=self._version,
        )
