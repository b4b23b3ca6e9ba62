"""Sends orders to model engines under a lease.

Engines that check the fencing number reject an old issuer by themselves.
Before the first order to another engine, a new issuer waits until no order of
an earlier issuer can still arrive. Every issuer checks the remaining lifetime
of its lease right before it sends an order.
"""

from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wasabiwing.codes import Failure
from wasabiwing.codes import ResultCode
from wasabiwing.configuration import BackendServer
from wasabiwing.configuration import Version
from wasabiwing.events import Event
from wasabiwing.events import log_event
from wasabiwing.leases import HeldLease
from wasabiwing.leases import LEASE_TTL_S
from wasabiwing.leases import LeaseHolder
from wasabiwing.ports import EngineControl
from wasabiwing.ports import EngineOrder
from wasabiwing.timers import TimerService

ENGINE_ORDER_TIMEOUT_S = 2.0

# Time between acquiring a lease and the first order to an engine that ignores
# the fencing number, in seconds: the earlier issuer may have sent its last
# order just before its lease ended, and that order may take until its timeout.
UNFENCED_WAIT_S = LEASE_TTL_S + ENGINE_ORDER_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class EngineOrderTarget:
    """A backend server and the version that it should run."""

    server: BackendServer
    version: Version


class EngineOrderSender:
    """Sends the engine orders of one controller."""

    def __init__(
        self,
        node_id: str,
        timer: TimerService,
        leases: LeaseHolder,
        control: EngineControl,
    ) -> None:
        self._node_id = node_id
        self._timer = timer
        self._leases = leases
        self._control = control

    async def load_version(
        self, lease_name: str, target: EngineOrderTarget
    ) -> Result[None, Failure]:
        """Orders an engine to run a version, unless it already does."""
        server = target.server
        state = await self._control.state(server.address)
        if isinstance(state, Err):
            return state
        if _runs_target(state.ok_value.version, state.ok_value.role, target):
            return Ok(None)
        held = self._leases.held_lease(lease_name)
        withheld = self._withhold_reason(held, server)
        if held is None or withheld:
            log_event(
                Event.ORDER_WITHHELD,
                self._node_id,
                server=server.id,
                reason=withheld,
            )
            return Err(Failure(ResultCode.LEASE_LOST, withheld))
        return await self._send(held, target)

    def _withhold_reason(
        self, held: HeldLease | None, server: BackendServer
    ) -> str:
        if held is None:
            return "no lease"
        if self._leases.remaining_s() < ENGINE_ORDER_TIMEOUT_S:
            return "the lease may end before the order does"
        age_s = self._timer.now() - held.acquired_at
        if not server.checks_fencing and age_s < UNFENCED_WAIT_S:
            return "an earlier issuer's order may still arrive"
        return ""

    async def _send(
        self, held: HeldLease, target: EngineOrderTarget
    ) -> Result[None, Failure]:
        server = target.server
        order = EngineOrder(
            "load",
            target.version.id,
            target.version.weights,
            target.version.adapters,
            server.role.value,
            held.fencing_number,
        )
        log_event(
            Event.ORDER_SENT,
            self._node_id,
            server=server.id,
            version=order.version,
            role=order.role,
            number=order.number,
        )
        sent = await self._control.order(
            server.address, order, ENGINE_ORDER_TIMEOUT_S
        )
        if isinstance(sent, Err):
            # If the reply was lost, the engine's state tells the outcome.
            if sent.err_value.code is ResultCode.ORDER_FENCED:
                return sent
        state = await self._control.state(server.address)
        if isinstance(state, Err):
            return state
        if _runs_target(state.ok_value.version, state.ok_value.role, target):
            return Ok(None)
        return Err(
            Failure(
                ResultCode.ATTEMPT_FAILED,
                f"{server.id} runs {state.ok_value.version} after the order",
            )
        )


def _runs_target(version: str, role: str, target: EngineOrderTarget) -> bool:
    return version == target.version.id and role == target.server.role.value
