"""Figures about hard load: refusals, returns, the line for advice, learned factors."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from onyxspoke.core.shard.actions import AdviceRequested, CallerReturned

#: Upper bounds of seconds to come back: whole, the shortest is 1.
RETRY_BUCKETS = (1.0, 2.0, 3.0, 5.0, 8.0, 13.0, 21.0, 30.0)
ADVICE_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
#: Tenants, and queues, that are counted by name; what comes after is counted together.
MAXIMUM_TENANTS = 100
MAXIMUM_QUEUES = 100
MAXIMUM_REASONS = 16
OTHERS = "(other)"


class LabelSet:
    """Values of one label: the first so many by name, the rest together."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._names: set[str] = set()

    def label(self, name: str) -> str:
        """Return under which name something is counted."""
        if name in self._names:
            return name
        if len(self._names) >= self._maximum:
            return OTHERS
        self._names.add(name)
        return name


class LoadMetrics:
    """The figures of one node about hard load.

    Parameters
    ----------
    registry : CollectorRegistry
        Tells them.
    tenants : LabelSet
        The tenants that all figures of the node name.
    """

    def __init__(self, registry: CollectorRegistry, tenants: LabelSet) -> None:
        self._tenants = tenants
        self._queues = LabelSet(MAXIMUM_QUEUES)
        self._reasons = LabelSet(MAXIMUM_REASONS)
        self.refusals = Counter(
            "onyxspoke_refusals", "Jobs refused at this entry, by queue and reason",
            ["queue", "reason"], registry=registry,
        )  # fmt: skip
        self.retry_seconds = Histogram(
            "onyxspoke_retry_after_seconds", "When refused callers are to come back, by queue",
            ["queue"], buckets=RETRY_BUCKETS, registry=registry,
        )  # fmt: skip
        self.returns = Counter(
            "onyxspoke_returns", "Refused callers that came again, by queue and outcome",
            ["queue", "outcome"], registry=registry,
        )  # fmt: skip
        self.advice_wait = Histogram(
            "onyxspoke_advice_wait_seconds",
            "Time that a call for advice waited for an entry, by queue and tenant",
            ["queue", "tenant"], buckets=ADVICE_BUCKETS, registry=registry,
        )  # fmt: skip
        self.learned_factor = Gauge(
            "onyxspoke_learned_factor",
            "How long tasks take, as a share of their callers' estimates, by shard and queue",
            ["shard", "queue"], registry=registry,
        )  # fmt: skip

    def note_refused(self, queue: str, reason: str, retry_after_seconds: float) -> None:
        """A caller of this entry was refused."""
        queue = self._queues.label(queue)
        self.refusals.labels(queue, self._reasons.label(reason)).inc()
        self.retry_seconds.labels(queue).observe(max(0.0, retry_after_seconds))

    def note_returned(self, action: CallerReturned) -> None:
        """A caller that was refused came again."""
        self.returns.labels(self._queues.label(action.queue), action.outcome.value).inc()

    def note_advice_asked(self, action: AdviceRequested) -> None:
        """A call for advice has left the line."""
        labels = (self._queues.label(action.queue), self._tenants.label(action.tenant))
        self.advice_wait.labels(*labels).observe(max(0.0, action.seconds))

    def set_learned_factors(self, factors: dict[tuple[int, str], float]) -> None:
        """Take the factor of each queue of the shards that are held, by shard and queue."""
        self.learned_factor.clear()
        for (shard, queue), factor in factors.items():
            self.learned_factor.labels(str(shard), self._queues.label(queue)).set(factor)
