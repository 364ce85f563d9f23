"""Port to the platform's lagging list of machines."""

from __future__ import annotations

from typing import Protocol

from onyxspoke.core.schema import MachineRecord


class MachineListListener(Protocol):
    """Receives the machine list whenever it changes."""

    def handle_machine_list(self, machines: list[MachineRecord]) -> None:
        """Take the whole list, as the platform sees it now."""
