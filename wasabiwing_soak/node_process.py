"""Runs a node program as a separate process and sends it signals."""

from dataclasses import dataclass
from os import environ
from os import pathsep
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

OWN_BUILD = Path(__file__).resolve().parent.parent

# Starts a node program with links of its own to the servers.
LAUNCHER = Path(__file__).resolve().parent / "linked_node.py"

# IP address of all servers in the registry.
SERVER_HOST = "127.0.1.0"

# Time in seconds after which the platform kills a process that was asked to
# stop, as in the example settings.
STOP_GRACE_S = 8.0


@dataclass(slots=True)
class NodeProcess:
    """A node that can be restarted with the same settings and log."""

    name: str
    settings_path: Path
    log: BinaryIO
    # IP address of its links to servers.
    link_host: str
    # Checkouts whose programs are started in turn.
    builds: tuple[Path, ...] = (OWN_BUILD,)
    starts: int = 0
    process: Process | None = None
    # Whether a fault is being played on the node or the soak is stopping it.
    disturbed: bool = False
    # Whether the process was asked to stop and may still run.
    stopping: bool = False

    @property
    def incarnation_id(self) -> str:
        """Id of the current or latest process of the node."""
        return f"{self.name}#{self.starts}"

    def ended(self) -> bool:
        """Returns whether no process of the node runs."""
        return self.process is None or self.process.returncode is not None

    async def start(self) -> None:
        """Starts a new process."""
        build = self.builds[self.starts % len(self.builds)]
        self.starts += 1
        self.process = await open_process(
            [
                executable,
                # Keeps the modules of the soak out of the node's path.
                "-P",
                str(LAUNCHER),
                SERVER_HOST,
                self.link_host,
                str(build / "platform" / "run_node.py"),
            ],
            stdin=None,
            stdout=self.log,
            stderr=self.log,
            env={
                **environ,
                "WASABIWING_CONFIG": str(self.settings_path),
                "PYTHONPATH": f"{build}{pathsep}{build / 'platform'}",
            },
        )

    async def stop(self) -> bool:
        """Asks the process to stop and kills it after the grace period.

        Returns whether it had to be killed.
        """
        self.stopping = True
        self.ask_to_stop()
        with move_on_after(STOP_GRACE_S):
            await self._wait()
        still_runs = not self.ended()
        if still_runs:
            await self.kill()
        self.stopping = False
        return still_runs

    def ask_to_stop(self) -> None:
        """Signals the process to stop."""
        self._signal(SIGTERM)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self._signal(SIGKILL)
        await self._wait()

    def pause(self) -> None:
        """Pauses the process until ``resume`` is called."""
        self._signal(SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process."""
        self._signal(SIGCONT)

    def reload_settings(self) -> None:
        """Signals the process to reload its settings."""
        self._signal(SIGHUP)

    def _signal(self, number: Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def _wait(self) -> None:
        if self.process is not None:
            await self.process.wait()
