"""A node program as a separate process, and signals to it."""

from dataclasses import dataclass
from os import environ
from pathlib import Path
from signal import SIGCONT
from signal import SIGHUP
from signal import SIGKILL
from signal import Signals
from signal import SIGSTOP
from signal import SIGTERM
from sys import executable
from typing import BinaryIO

from anyio import move_on_after
from anyio import open_process
from anyio.abc import Process

PROGRAM = Path(__file__).parent.parent / "platform" / "run_node.py"

# Time that the platform gives a process to stop, in seconds; that of the
# settings of the example.
STOP_GRACE_S = 8.0


@dataclass(slots=True)
class NodeProcess:
    """One node; it is started again and again in the same place."""

    name: str
    settings_path: Path
    log: BinaryIO
    starts: int = 0
    process: Process | None = None
    # Whether a fault is being played on it.
    disturbed: bool = False

    @property
    def incarnation_id(self) -> str:
        """Names the process that runs, or ran last."""
        return f"{self.name}#{self.starts}"

    def ended(self) -> bool:
        """Whether the process is gone."""
        return self.process is None or self.process.returncode is not None

    async def start(self) -> None:
        """Starts a new process."""
        self.starts += 1
        self.process = await open_process(
            [executable, str(PROGRAM)],
            stdin=None,
            stdout=self.log,
            stderr=self.log,
            env={**environ, "WASABIWING_CONFIG": str(self.settings_path)},
        )

    async def stop(self) -> None:
        """Asks the process to stop, and kills it after the grace."""
        self._signal(SIGTERM)
        with move_on_after(STOP_GRACE_S):
            await self._wait()
        if not self.ended():
            await self.kill()

    async def kill(self) -> None:
        """Ends the process at once."""
        self._signal(SIGKILL)
        await self._wait()

    def pause(self) -> None:
        """Stops the process until ``resume``."""
        self._signal(SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on."""
        self._signal(SIGCONT)

    def reload_settings(self) -> None:
        """Tells the process to read its settings again."""
        self._signal(SIGHUP)

    def _signal(self, number: Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def _wait(self) -> None:
        if self.process is not None:
            await self.process.wait()
