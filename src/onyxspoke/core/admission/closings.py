"""Which queues are closed, for how much longer, and for which tenants."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.admission.summary import QueueNotice
from onyxspoke.core.tenants.policy import TenantName

#: Tenants that a notice names at most.
MAX_NOTICE_TENANTS = 20
#: No queue is told to be closed for longer at once, in seconds.
MAX_CLOSURE_SECONDS = 30.0
#: A queue counts as open again when nothing was refused for so long, in seconds.
REOPEN_DELAY_SECONDS = 1.0


class Scope(NamedTuple):
    """What is closed: a queue, for one tenant's jobs beyond its share, or for everybody's."""

    queue: str
    tenant: TenantName


@dataclass(slots=True)
class _Closure:
    started_at: float
    closed_until: float
    last_refused_at: float


class Closings:
    """Follows refusals and tells which queues are closed."""

    def __init__(self) -> None:
        self._closures: dict[Scope, _Closure] = {}

    def note_refused(self, scope: Scope, seconds: float, now: float) -> bool:
        """A job was refused, and others like it for so long; return whether that is new."""
        closed_until = now + min(seconds, MAX_CLOSURE_SECONDS)
        closure = self._closures.get(scope)
        if closure is None:
            self._closures[scope] = _Closure(now, closed_until, now)
            return True
        closure.closed_until = closed_until
        closure.last_refused_at = now
        return False

    def note_taken(self, scope: Scope, now: float) -> None:
        """A job was taken: it is not closed any more."""
        closure = self._closures.get(scope)
        if closure is not None:
            closure.closed_until = min(closure.closed_until, now)

    def closed_scopes(self, now: float) -> list[Scope]:
        """Return what is closed for some time to come."""
        return [scope for scope, closure in self._closures.items() if closure.closed_until > now]

    def take_opened(self, now: float) -> list[tuple[Scope, float]]:
        """Return what is open again since the last call, and for how long it was closed."""
        reopened = []
        for scope, closure in list(self._closures.items()):
            reopens_at = max(closure.closed_until, closure.last_refused_at + REOPEN_DELAY_SECONDS)
            if now >= reopens_at:
                del self._closures[scope]
                reopened.append((scope, now - closure.started_at))
        return reopened

    def clear(self) -> None:
        """Nothing is closed."""
        self._closures.clear()

    def notices(self, now: float) -> tuple[QueueNotice, ...]:
        """Return the queues that are closed; one for everybody's jobs names no tenants."""
        closures_by_queue: dict[str, list[tuple[float, TenantName]]] = {}
        notices = {}
        for scope, closure in self._closures.items():
            remaining_seconds = closure.closed_until - now
            if remaining_seconds <= 0.0:
                continue
            if not scope.tenant:
                notices[scope.queue] = QueueNotice(
                    queue=scope.queue, closed_seconds=remaining_seconds
                )
            else:
                closures_by_queue.setdefault(scope.queue, []).append(
                    (remaining_seconds, scope.tenant)
                )
        for queue, tenant_closures in closures_by_queue.items():
            if queue not in notices:
                tenant_closures.sort(reverse=True)
                notices[queue] = _notice(queue, tenant_closures[:MAX_NOTICE_TENANTS])
        return tuple(notices.values())


def _notice(queue: str, tenant_closures: list[tuple[float, TenantName]]) -> QueueNotice:
    """Return the notice for tenants' jobs: for no longer than the queue is closed for each."""
    tenant_names = tuple(tenant for _remaining_seconds, tenant in tenant_closures)
    return QueueNotice(queue=queue, closed_seconds=tenant_closures[-1][0], tenants=tenant_names)
