"""The queues that are closed at a holder, for how long, and for which tenants."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.admission.summary import QueueNotice
from onyxspoke.core.tenants.policy import TenantName

#: Maximum number of tenants in a notice.
MAX_NOTICE_TENANTS = 20
#: Maximum length of a closure after one refusal, in seconds.
MAX_CLOSURE_SECONDS = 30.0
#: A queue counts as reopened only after this many seconds without a refusal.
REOPEN_DELAY_SECONDS = 1.0


class ClosureScope(NamedTuple):
    """The jobs that a closure refuses.

    An empty ``tenant`` means all jobs of the queue; otherwise the closure applies to jobs of that
    tenant that are over its share or limited by its quota.
    """

    queue: str
    tenant: TenantName


@dataclass(slots=True)
class _Closure:
    started_at: float
    closed_until: float
    last_refused_at: float


class QueueClosures:
    """Tracks refusals and derives which queues are closed."""

    def __init__(self) -> None:
        self._closures: dict[ClosureScope, _Closure] = {}

    def note_refused(self, scope: ClosureScope, seconds: float, now: float) -> bool:
        """Close a scope for some seconds after a refusal; return whether the closure is new."""
        closed_until = now + min(seconds, MAX_CLOSURE_SECONDS)
        closure = self._closures.get(scope)
        if closure is None:
            self._closures[scope] = _Closure(now, closed_until, now)
            return True
        closure.closed_until = closed_until
        closure.last_refused_at = now
        return False

    def note_admitted(self, scope: ClosureScope, now: float) -> None:
        """End the closure of a scope, because a job in it was admitted."""
        closure = self._closures.get(scope)
        if closure is not None:
            closure.closed_until = min(closure.closed_until, now)

    def closed_scopes(self, now: float) -> list[ClosureScope]:
        """Return the scopes that are closed at this time."""
        return [scope for scope, closure in self._closures.items() if closure.closed_until > now]

    def pop_reopened(self, now: float) -> list[tuple[ClosureScope, float]]:
        """Remove and return the scopes that have reopened, and how many seconds each was closed."""
        reopened = []
        for scope, closure in list(self._closures.items()):
            reopens_at = max(closure.closed_until, closure.last_refused_at + REOPEN_DELAY_SECONDS)
            if now >= reopens_at:
                del self._closures[scope]
                reopened.append((scope, now - closure.started_at))
        return reopened

    def clear(self) -> None:
        """Remove all closures."""
        self._closures.clear()

    def notices(self, now: float) -> tuple[QueueNotice, ...]:
        """Return a notice for each closed queue; a notice without tenants applies to all jobs."""
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
    """Return the notice of a queue for some tenants; the shortest of their closures counts."""
    tenant_names = tuple(tenant for _remaining_seconds, tenant in tenant_closures)
    return QueueNotice(queue=queue, closed_seconds=tenant_closures[-1][0], tenants=tenant_names)
