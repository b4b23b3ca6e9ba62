"""Tests of when connections between processes are replaced."""

from wasabiwing.link_health import MAX_SILENT_AFTER_S
from wasabiwing.link_health import SILENT_AFTER_S
from wasabiwing.message_links import CHECK_PERIOD_S
from wasabiwing.message_links import is_later_link
from wasabiwing.message_links import MAX_LINK_NUMBER
from wasabiwing.message_links import MessageLinks
from wasabiwing.message_links import QueuedMessage
from wasabiwing.messages import encode_envelope
from wasabiwing.messages import Envelope
from wasabiwing.messages import LinkState
from wasabiwing.messages import Ping

OTHER = "tcp://other"

PLAIN = QueuedMessage(
    encode_envelope(Envelope("own", "tcp://own", 0, Ping())), False, False
)
ACKNOWLEDGEMENT = QueuedMessage(
    encode_envelope(Envelope("own", "tcp://own", 0, LinkState())), True, False
)


class LinkTrial:
    """One process that sends to another every quarter of a second."""

    def __init__(self, queued: QueuedMessage = PLAIN) -> None:
        self.now = 0.0
        self.links = MessageLinks("own", lambda: 0.5, 0.0)
        self.link = self.links.open(OTHER, 0.0)
        self.links.note_dialled(self.link, 0.0)
        self.queued = queued
        self.dialled_at: list[float] = []

    def hear(self, **state: object) -> None:
        """Receives a message of the other process."""
        envelope = Envelope("other", OTHER, 0, Ping(), **state)  # type: ignore
        self.links.note_received(envelope, self.now)

    def run(self, seconds: float, **state: object) -> None:
        """Sends, checks and hears messages with a state of the link."""
        end = self.now + seconds
        while self.now < end:
            self.now += CHECK_PERIOD_S
            if state:
                self.hear(**state)
            self.links.envelope_to_send(self.link, self.queued, self.now)
            self.links.check(self.now)
            if self.link.must_dial:
                self.links.note_dialled(self.link, self.now)
                self.dialled_at.append(self.now)


class TestSilentLink:
    """What is done about a destination that acknowledges nothing."""

    def test_link_that_is_acknowledged_stays(self) -> None:
        trial = LinkTrial()
        trial.run(600.0, link=7, heard_link=trial.link.number)
        assert trial.dialled_at == []

    def test_link_is_replaced_within_the_stated_time(self) -> None:
        trial = LinkTrial()
        trial.run(10.0, link=7, heard_link=trial.link.number)
        silent_from = trial.now
        trial.run(3.0)
        first = trial.dialled_at[0] - silent_from
        assert first <= SILENT_AFTER_S * 1.2 + 2 * CHECK_PERIOD_S

    def test_address_that_falls_silent_again_is_dialled_ever_later(
        self,
    ) -> None:
        """Guards against hundreds of connections to a lost process."""
        trial = LinkTrial()
        trial.run(3600.0)
        times = trial.dialled_at
        gaps = [later - time for time, later in zip(times, times[1:])]
        assert gaps == sorted(gaps)
        assert gaps[-1] >= MAX_SILENT_AFTER_S
        assert len(times) < 120

    def test_backoff_ends_with_an_acknowledgement(self) -> None:
        trial = LinkTrial()
        trial.run(300.0)
        assert trial.links.silences_s(trial.now)[0] > 299.0
        trial.hear(link=7, heard_link=trial.link.number)
        assert trial.links.silences_s(trial.now) == []
        trial.dialled_at.clear()
        silent_from = trial.now
        trial.run(10.0)
        assert trial.dialled_at[0] - silent_from < 2.5

    def test_acknowledgement_of_an_earlier_connection_does_not_count(
        self,
    ) -> None:
        trial = LinkTrial()
        earlier = trial.link.number
        trial.run(3.0)
        assert trial.link.number != earlier
        trial.hear(link=7, heard_link=earlier)
        assert trial.links.silences_s(trial.now) != []

    def test_pause_of_this_process_is_no_silence(self) -> None:
        """Guards against a process that dials all others when resumed."""
        trial = LinkTrial()
        trial.run(10.0, link=7, heard_link=trial.link.number)
        trial.links.envelope_to_send(trial.link, PLAIN, trial.now)
        trial.now += 60.0
        trial.links.check(trial.now)
        assert not trial.link.must_dial


class TestEarlierBuild:
    """Destinations whose messages name no connection."""

    def test_it_is_never_dialled_anew(self) -> None:
        trial = LinkTrial()
        trial.run(3600.0, link=0)
        assert trial.dialled_at == []

    def test_it_is_sent_no_acknowledgement_of_its_own(self) -> None:
        trial = LinkTrial()
        trial.hear(link=0)
        assert trial.links.check(10.0) == []


class TestReverseLink:
    """The connection that carries acknowledgements only."""

    def test_link_is_replaced_when_the_other_end_hears_nothing(self) -> None:
        """Guards against a silent link that only carries acknowledgements."""
        trial = LinkTrial(ACKNOWLEDGEMENT)
        trial.run(30.0, link=7, is_unheard=False)
        assert trial.dialled_at == []
        trial.run(3.0, link=7, is_unheard=True)
        assert len(trial.dialled_at) == 1

    def test_it_is_dialled_ever_later_while_that_does_not_help(self) -> None:
        trial = LinkTrial(ACKNOWLEDGEMENT)
        trial.run(3600.0, link=7, is_unheard=True)
        assert 20 < len(trial.dialled_at) < 120

    def test_acknowledgement_is_sent_without_another_message(self) -> None:
        trial = LinkTrial()
        trial.hear(link=7)
        assert trial.links.check(0.5) == []
        assert trial.links.check(0.75) == [(OTHER, LinkState())]

    def test_acknowledgement_is_not_acknowledged(self) -> None:
        """Guards against two idle processes that answer each other."""
        trial = LinkTrial()
        envelope = Envelope("other", OTHER, 0, LinkState(), 7)
        trial.links.note_received(envelope, 0.0)
        assert trial.links.check(1.0) == []


class TestLinkNumbers:
    """The order of connections, whose numbers start again."""

    def test_first_number_comes_after_the_last(self) -> None:
        assert is_later_link(1, MAX_LINK_NUMBER)
        assert not is_later_link(MAX_LINK_NUMBER, 1)
        assert not is_later_link(5, 5)
