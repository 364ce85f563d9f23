"""Counters and latency histograms of a node, told in the text form of Prometheus."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from onyxspoke.core.shard.actions import JobEnded, JobStarted
from onyxspoke.node.load_metrics import (
    MAXIMUM_QUEUES,
    MAXIMUM_TENANTS,
    LabelSet,
    LoadMetrics,
)

#: Upper bounds of the histograms' buckets, in seconds.
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
CONTENT_TYPE = b"text/plain; version=0.0.4"


class NodeMetrics:
    """The figures of one node; one registry for each, so that many live in one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        registry = self._registry
        self.decisions = Counter(
            "onyxspoke_decisions", "Decisions and beliefs, by event", ["event"], registry=registry
        )
        self.internal_error_count = 0
        self._internal_errors = Counter(
            "onyxspoke_internal_errors", "Exceptions that ended a shard's scheduler",
            registry=registry,
        )  # fmt: skip
        self.loop_delay_seconds = Histogram(
            "onyxspoke_loop_delay_seconds", "By how much ticks were later than they were due",
            buckets=BUCKETS, registry=registry,
        )  # fmt: skip
        self.replies = Counter(
            "onyxspoke_replies", "Replies to callers, by call and code", ["call", "code"],
            registry=registry,
        )  # fmt: skip
        self.reply_seconds = Histogram(
            "onyxspoke_reply_seconds", "Time to a reply, by queue and call", ["queue", "call"],
            buckets=BUCKETS, registry=registry,
        )  # fmt: skip
        self.job_seconds = Histogram(
            "onyxspoke_job_seconds", "Time from acceptance to the end, by queue, tenant and state",
            ["queue", "tenant", "state"], buckets=BUCKETS, registry=registry,
        )  # fmt: skip
        self.wait_seconds = Histogram(
            "onyxspoke_first_start_seconds",
            "Time from acceptance to the first start, by queue and tenant",
            ["queue", "tenant"], buckets=BUCKETS, registry=registry,
        )  # fmt: skip
        self.keys = Counter(
            "onyxspoke_keys", "Callers' keys, by what was found", ["verdict"], registry=registry
        )
        self._tenants = LabelSet(MAXIMUM_TENANTS)
        # Apart, because operators may ask for queues that nobody made.
        self._asked_queues = LabelSet(MAXIMUM_QUEUES)
        self.load = LoadMetrics(registry, self._tenants)
        self.holding = Gauge("onyxspoke_shards_held", "Shards held", registry=registry)
        self.ready = Gauge("onyxspoke_ready", "Whether callers are served", registry=registry)
        self.store = Gauge(
            "onyxspoke_store_reachable", "Whether the store serves this node", registry=registry
        )
        self.jobs = Gauge("onyxspoke_jobs", "Jobs known to the holder", registry=registry)
        self.runs = Gauge("onyxspoke_runs", "Runs holding room", registry=registry)
        self._lines = Gauge(
            "onyxspoke_log_lines", "Log lines, by fate", ["fate"], registry=registry
        )

    def note_internal_error(self) -> None:
        """A shard's scheduler raised an exception."""
        self.internal_error_count += 1
        self._internal_errors.inc()

    def note_reply(self, call: str, queue: str, code: str, seconds: float) -> None:
        """A call was answered."""
        self.replies.labels(call, code).inc()
        self.reply_seconds.labels(self._asked_queues.label(queue), call).observe(seconds)

    def note_begun(self, job: JobStarted) -> None:
        """A job had its first run."""
        labels = (job.queue, self._tenants.label(job.tenant))
        self.wait_seconds.labels(*labels).observe(max(0.0, job.seconds))

    def note_ended(self, job: JobEnded) -> None:
        """A job came to its end."""
        labels = (job.queue, self._tenants.label(job.tenant), job.state)
        self.job_seconds.labels(*labels).observe(max(0.0, job.seconds))

    def set_log_lines(self, written: int, dropped: int) -> None:
        """Take the log's counts."""
        self._lines.labels("written").set(written)
        self._lines.labels("dropped").set(dropped)

    def render(self) -> bytes:
        """Return all figures as text."""
        return generate_latest(self._registry)
