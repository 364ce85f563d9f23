"""What stand-ins need of time and of the way between them and a node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Timers(Protocol):
    """Virtual time."""

    def now(self) -> float:
        """Return the time in seconds."""

    def schedule(self, delay: float, function: Callable[[], Any]) -> None:
        """Run a function after a delay."""


class Path(Protocol):
    """The way between one node and the stand-ins.

    What is sent on a path that is cut, or to a process that is dead, is lost.
    """

    def to_outside(self, target: str, function: Callable[[], Any]) -> None:
        """Run a function at a stand-in, a little later, unless the way to it is cut."""

    def to_node(self, source: str, function: Callable[[], Any]) -> None:
        """Run a function in the node, a little later, unless the way from there is cut."""
