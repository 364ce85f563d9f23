"""Callers of a simulated cluster: they hand jobs in, again if need be, and ask for them."""

from __future__ import annotations

import random
from functools import partial

from onyxspoke.core.jobs.model import JobSpec, TaskKey
from onyxspoke.core.shard.calls import CallReply, CancelCall, ReplyCode, StateCall, SubmitCall
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.kit.jobs.drawn_jobs import QUEUES, draw_steps
from onyxspoke.sim.job_cluster import JobCluster, SimulatedNode

MAXIMUM_ATTEMPTS = 5
RETRY_SECONDS = 0.4
#: Of the jobs, so many are handed in once more some time later.
REPEAT_SHARE = 0.1
#: Of the jobs, so many are cancelled, within so many seconds.
CANCEL_SHARE = 0.05
CANCEL_SECONDS = 2.0


class JobCallers:
    """Drives a cluster with jobs of every shape.

    Parameters
    ----------
    cluster : JobCluster
        Takes the jobs.
    rate : float
        Jobs a second.
    maximum_attempts : int
        A job is handed in so often until it is accepted.
    cancel_seconds : float
        ``cancel_share`` of the jobs are cancelled within so long after they were handed in.
    """

    def __init__(
        self,
        cluster: JobCluster,
        rate: float,
        cancel_share: float = CANCEL_SHARE,
        repeat_share: float = REPEAT_SHARE,
        maximum_attempts: int = MAXIMUM_ATTEMPTS,
        cancel_seconds: float = CANCEL_SECONDS,
    ) -> None:
        self._cluster = cluster
        self._rate = rate
        self._cancel_share = cancel_share
        self._cancel_seconds = cancel_seconds
        self._repeat_share = repeat_share
        self._maximum_attempts = maximum_attempts
        self._random = random.Random(cluster.options.seed + 10)
        self._tenants = random.Random(cluster.options.seed + 11)
        self._count = 0
        self.hopeless_share = 0.01
        #: Share of the jobs of which one task crashes each worker that starts it.
        self.crashing_share = 0.0
        self._crashes = random.Random(cluster.options.seed + 12)

    def run_for(self, seconds: float) -> None:
        """Hand jobs in for so long; this returns at once."""
        moment = 0.0
        while True:
            moment += self._random.expovariate(self._rate)
            if moment >= seconds:
                return
            self._cluster.time.schedule(moment, self._submit_new)

    def check_all(self) -> None:
        """Ask for every accepted job, and check that it has come to its end."""
        cluster = self._cluster
        for job_id in cluster.audit.jobs:
            node = self._choose_node()
            assert node is not None
            cluster.call(node, job_id, StateCall(job_id), partial(self._take_last, job_id))
        cluster.run(4.0)
        cluster.audit.check_refused()

    def submit(self, spec: JobSpec) -> None:
        """Hand one job in, and again where the outcome is not known."""
        cluster = self._cluster
        cluster.pool.specs[spec.job_id] = spec
        cluster.audit.handle_submitted(spec)
        self._attempt(spec, 1)

    def _submit_new(self) -> None:
        spec = self._make_job()
        if self._random.random() < self.hopeless_share:
            self._cluster.pool.work.hopeless.add(spec.job_id)
        if self._crashes.random() < self.crashing_share:
            step = self._crashes.randrange(len(spec.steps))
            index = self._crashes.randrange(spec.steps[step].task_count)
            self._cluster.pool.work.crashing.add(TaskKey(spec.job_id, 0, step, index))
        self.submit(spec)
        if self._random.random() < self._cancel_share:
            delay = self._random.random() * self._cancel_seconds
            self._cluster.time.schedule(delay, partial(self._cancel, spec.job_id))
        if self._random.random() < self._repeat_share:
            delay = self._random.random() * 5.0
            self._cluster.time.schedule(delay, partial(self._attempt, spec, self._maximum_attempts))

    def _attempt(self, spec: JobSpec, number: int) -> None:
        node = self._choose_node()
        if node is None:
            reply: CallReply | None = None
            self._take_reply(spec, number, reply)
            return
        self._cluster.call(
            node, spec.job_id, SubmitCall(spec), partial(self._take_reply, spec, number)
        )

    def _take_reply(self, spec: JobSpec, number: int, reply: CallReply | None) -> None:
        cluster = self._cluster
        cluster.audit.handle_submit_reply(spec.job_id, reply)
        if reply is not None and reply.code is ReplyCode.OK:
            cluster.time.schedule(self._random.random() * 4.0, partial(self._ask, spec.job_id))
        elif number < self._maximum_attempts:
            cluster.time.schedule(RETRY_SECONDS, partial(self._attempt, spec, number + 1))

    def _cancel(self, job_id: str) -> None:
        node = self._choose_node()
        if node is None:
            return
        audit = self._cluster.audit
        audit.handle_cancel_sent(job_id)

        def take(reply: CallReply | None) -> None:
            if reply is not None:
                audit.handle_cancel_reply(job_id, reply)

        self._cluster.call(node, job_id, CancelCall(job_id), take)

    def _ask(self, job_id: str) -> None:
        node = self._choose_node()
        if node is None:
            return

        def take(reply: CallReply | None) -> None:
            if reply is not None:
                self._cluster.audit.handle_state_reply(job_id, reply)

        self._cluster.call(node, job_id, StateCall(job_id), take)

    def _take_last(self, job_id: str, reply: CallReply | None) -> None:
        audit = self._cluster.audit
        if reply is not None:
            audit.handle_state_reply(job_id, reply)
        state = reply.state if reply is not None and reply.code is ReplyCode.OK else ""
        if reply is not None and reply.code is ReplyCode.NO_SUCH_JOB:
            state = "cancelled" if audit.jobs[job_id].cancel_sent else "unknown"
        audit.check_finished(job_id, state)

    def _choose_node(self) -> SimulatedNode | None:
        ready = [node for node in self._cluster.nodes.values() if node.is_up and node.node.is_ready]
        up = [node for node in self._cluster.nodes.values() if node.is_up]
        nodes = ready or up
        return self._random.choice(nodes) if nodes else None

    def _make_job(self) -> JobSpec:
        self._count += 1
        draw = self._random
        job_id = f"{self._cluster.options.seed:08x}{self._count:08x}"
        name = draw.choice(QUEUES)
        queue = self._cluster.configuration.configuration.policy.queues[name]
        steps = draw_steps(draw)
        return JobSpec(
            job_id=job_id,
            queue=queue,
            payload=f"payload-{job_id}",
            steps=steps,
            tenant=self._draw_tenant(),
        )

    def _draw_tenant(self) -> TenantName:
        tenants = self._cluster.options.tenants
        return self._tenants.choice(tenants).name if tenants else ""
