"""Port to the advice service, which works for each calling machine in turn."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from onyxspoke.core.jobs.model import StepKey, WorkerId
from onyxspoke.core.shard.orders import AdviceResult


class AdvicePort(Protocol):
    """The advice service."""

    def ask(
        self,
        step: StepKey,
        worker_ids: tuple[WorkerId, ...],
        on_result: Callable[[AdviceResult], None],
    ) -> None:
        """Ask which of the workers may run a step."""
