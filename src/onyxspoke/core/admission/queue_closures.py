"""Which queues are closed, for how much longer, and for which tenants."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.admission.summary import QueueNotice
from onyxspoke.core.tenants.policy import TenantName

#: Tenants that a notice names at most.
MAXIMUM_TENANTS = 20
#: No queue is told to be closed for longer at once, in seconds.
LONGEST_CLOSING_SECONDS = 30.0
#: A queue counts as open again when nothing was refused for so long, in seconds.
OPEN_AGAIN_SECONDS = 1.0


class ClosureScope(NamedTuple):
    """What is closed: a queue, for one tenant's jobs beyond its share, or for everybody's."""

    queue: str
    tenant: TenantName


@dataclass(slots=True)
class _Closing:
    began_at: float
    closed_until: float
    refused_at: float


class QueueClosures:
    """Follows refusals and tells which queues are closed."""

    def __init__(self) -> None:
        self._closings: dict[ClosureScope, _Closing] = {}

    def note_refused(self, scope: ClosureScope, seconds: float, now: float) -> bool:
        """A job was refused, and others like it for so long; return whether that is new."""
        until = now + min(seconds, LONGEST_CLOSING_SECONDS)
        closing = self._closings.get(scope)
        if closing is None:
            self._closings[scope] = _Closing(now, until, now)
            return True
        closing.closed_until = until
        closing.refused_at = now
        return False

    def note_admitted(self, scope: ClosureScope, now: float) -> None:
        """A job was taken: it is not closed any more."""
        closing = self._closings.get(scope)
        if closing is not None:
            closing.closed_until = min(closing.closed_until, now)

    def closed_scopes(self, now: float) -> list[ClosureScope]:
        """Return what is closed for some time to come."""
        return [scope for scope, closing in self._closings.items() if closing.closed_until > now]

    def pop_reopened(self, now: float) -> list[tuple[ClosureScope, float]]:
        """Return what is open again since the last call, and for how long it was closed."""
        opened = []
        for scope, closing in list(self._closings.items()):
            open_at = max(closing.closed_until, closing.refused_at + OPEN_AGAIN_SECONDS)
            if now >= open_at:
                del self._closings[scope]
                opened.append((scope, now - closing.began_at))
        return opened

    def clear(self) -> None:
        """Nothing is closed."""
        self._closings.clear()

    def notices(self, now: float) -> tuple[QueueNotice, ...]:
        """Return the queues that are closed; one for everybody's jobs names no tenants."""
        tenants: dict[str, list[tuple[float, TenantName]]] = {}
        notices = {}
        for scope, closing in self._closings.items():
            left = closing.closed_until - now
            if left <= 0.0:
                continue
            if not scope.tenant:
                notices[scope.queue] = QueueNotice(queue=scope.queue, closed_seconds=left)
            else:
                tenants.setdefault(scope.queue, []).append((left, scope.tenant))
        for queue, named in tenants.items():
            if queue not in notices:
                named.sort(reverse=True)
                notices[queue] = _notice(queue, named[:MAXIMUM_TENANTS])
        return tuple(notices.values())


def _notice(queue: str, named: list[tuple[float, TenantName]]) -> QueueNotice:
    """Return the notice for tenants' jobs: for no longer than the queue is closed for each."""
    names = tuple(tenant for _left, tenant in named)
    return QueueNotice(queue=queue, closed_seconds=named[-1][0], tenants=names)
