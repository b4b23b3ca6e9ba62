"""Polls the cloud for reclaim notices and adds them to the notice table.

A bounded number of controllers in each availability zone polls, so the rate
of calls to the cloud grows with the number of zones and not of nodes.
"""

from collections import defaultdict

from result import Err

from wasabiwing.messages import ServerNotice
from wasabiwing.notices import NoticeTable
from wasabiwing.ports import Cloud
from wasabiwing.ports import MemberView
from wasabiwing.rendezvous import rank_members
from wasabiwing.timers import TimerService

# Period of the polls, in seconds. A leaving server must get no new work 3 s
# after its notice, and forwarding the notice takes less than 1 s.
POLL_PERIOD_S = 1.0

# Number of controllers that poll in each availability zone. The second one
# covers the time in which the loss of the first is not known yet.
POLLERS_PER_ZONE = 2


class NoticePoller:
    """Polls the cloud's notices for one controller."""

    def __init__(
        self,
        timer: TimerService,
        cloud: Cloud,
        members: MemberView,
        notices: NoticeTable,
    ) -> None:
        self._timer = timer
        self._cloud = cloud
        self._members = members
        self._notices = notices
        # VMs under notice in the cloud's last answer. Notices of operators
        # are not among them, so they are never ended here.
        self._noticed_vm_ids: frozenset[str] = frozenset()

    def start(self) -> None:
        """Starts the timer of the polls."""
        self._timer.subscribe(POLL_PERIOD_S, self.poll)

    async def poll(self) -> None:
        """Reads the cloud's notices once if this controller is a poller."""
        if not self._is_poller():
            return
        listed = await self._cloud.notices()
        if isinstance(listed, Err):
            return
        for notice in listed.ok_value:
            self._notices.add(
                ServerNotice((notice.vm_id,), (), notice.remaining_s)
            )
        noticed = frozenset(notice.vm_id for notice in listed.ok_value)
        for vm_id in sorted(self._noticed_vm_ids - noticed):
            self._notices.end(vm_id)
        self._noticed_vm_ids = noticed

    def _is_poller(self) -> bool:
        own = self._members.own
        ids_by_zone: dict[str, list[str]] = defaultdict(list)
        for member in self._members.live():
            ids_by_zone[member.availability_zone].append(member.node_id)
        zone = own.availability_zone
        pollers = rank_members(f"notices/{zone}", ids_by_zone[zone])
        return own.node_id in pollers[:POLLERS_PER_ZONE]
