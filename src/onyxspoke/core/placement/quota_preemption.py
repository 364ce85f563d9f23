"""Choose a tenant's runs to preempt for its own more urgent tasks that wait for its quota.

Without this, less urgent runs would keep a tenant's quota from its urgent jobs until they end.
"""

from __future__ import annotations

import math
from operator import itemgetter

from onyxspoke.core.jobs.model import QueuePolicy, ResourceVector, StepKey
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.jobs.resource_vectors import (
    add_vectors,
    count_fitting_tasks,
    subtract_vectors,
)
from onyxspoke.core.placement.capacity_seeker import PREEMPT_IF_LATER_SECONDS, PreemptionRequest
from onyxspoke.core.placement.forecast import expected_end
from onyxspoke.core.placement.placement_pass import PlacementPass
from onyxspoke.core.placement.preemption import (
    MAXIMUM_TASKS_PER_STEP,
    Preemption,
    choose_victims,
    cost_milli,
    preemptible_runs,
)
from onyxspoke.core.placement.queue_order import latest_useful_start, step_rank_in_queue
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_table import WorkerTable
from onyxspoke.core.tenants.policy import TenantName

#: A pass chooses no more runs after it has done so for this many tasks, which bounds its duration.
MAXIMUM_SEARCHES = 12
#: Quota that preemption freed for a step is held for it for this many seconds, so that less urgent
#: steps do not take it while the step waits for advice.
HOLD_SECONDS = 2.0


class QuotaPreemptor:
    """Preempts within a tenant's quota, and holds the freed quota for the more urgent step.

    Gangs are left out.

    Parameters
    ----------
    stop_seconds : float
        The longest time that stopping a run takes, in seconds.
    """

    def __init__(self, table: WorkerTable, stop_seconds: float) -> None:
        self._table = table
        self._stop_seconds = stop_seconds
        self._held_until: dict[StepKey, float] = {}
        #: For each tenant, the quota that is free or will be soon, less what earlier steps need.
        self._headroom: dict[TenantName, ResourceVector] = {}
        #: For each tenant, the highest priority for which this pass found no run to preempt.
        self._exhausted: dict[TenantName, int] = {}
        self._runs_by_tenant: dict[TenantName, list[Run]] | None = None
        #: Runs to preempt by tenant, priority and whether punctual runs are spared.
        self._candidates: dict[tuple[TenantName, int, bool], list[Run]] = {}
        self._search_count = 0
        self.preemption_requests: list[PreemptionRequest] = []

    def begin_pass(self) -> None:
        """Discard the state of the previous pass."""
        self._headroom.clear()
        self._exhausted.clear()
        self._candidates.clear()
        self._search_count = 0
        self._runs_by_tenant = None

    def forget_others(self, waiting: set[StepKey]) -> None:
        """Release the quota held for steps that no longer wait."""
        for key in self._held_until.keys() - waiting:
            del self._held_until[key]

    def seek(
        self, step: StepProgress, tasks_within_quota: int, placement_pass: PlacementPass
    ) -> None:
        """Choose runs to preempt for tasks of a step that its tenant's quota keeps waiting."""
        task_count = min(len(step.waiting) - tasks_within_quota, MAXIMUM_TASKS_PER_STEP)
        if not step.job.spec.tenant or step.spec.gang or task_count <= 0:
            return
        queue = placement_pass.policy.queue_of(step.job.spec)
        if queue.priority >= self._exhausted.get(step.job.spec.tenant, queue.priority + 1):
            return
        if not step_rank_in_queue(step, queue, placement_pass.now).is_entitled:
            return
        for _ in range(task_count):
            if not self._seek_for_task(step, queue, placement_pass):
                self._exhausted[step.job.spec.tenant] = queue.priority
                return

    def hold(self, step: StepProgress, task_count: int, placement_pass: PlacementPass) -> None:
        """Hold quota for tasks of a step that could start, but have no worker yet."""
        if placement_pass.now < self._held_until.get(step.key, 0.0):
            placement_pass.quotas.take(step.job.spec.tenant, step.needs, task_count)

    def _seek_for_task(
        self, step: StepProgress, queue: QueuePolicy, placement_pass: PlacementPass
    ) -> bool:
        """Choose runs to preempt for one task, if it needs any; return whether it gets quota."""
        tenant, needs = step.job.spec.tenant, step.needs
        headroom = self._headroom_of(tenant, placement_pass)
        if count_fitting_tasks(headroom, needs) == 0:
            if self._search_count >= MAXIMUM_SEARCHES:
                return False
            self._search_count += 1
            victims = self._choose_victims(step, queue, headroom, placement_pass)
            if not victims:
                return False
            for run in victims:
                preemption = Preemption(run.worker, [run], cost_milli(run))
                self.preemption_requests.append(PreemptionRequest(step, preemption))
                headroom = add_vectors(headroom, run.needs)
            self._forget_runs(tenant, victims)
            self._held_until[step.key] = placement_pass.now + self._stop_seconds + HOLD_SECONDS
        self._headroom[tenant] = subtract_vectors(headroom, needs)
        return True

    def _choose_victims(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        headroom: ResourceVector,
        placement_pass: PlacementPass,
    ) -> list[Run]:
        """Return runs whose end gives a task its quota.

        Runs whose jobs would be late after a restart are spared if there are others, or if the
        step can wait until enough runs have ended.
        """
        for spare_punctual in (True, False):
            if not spare_punctual and self._can_wait(step, queue, headroom, placement_pass):
                return []
            candidates = self._candidates_of(step, queue, spare_punctual, placement_pass)
            victims = choose_victims(candidates, headroom, step.needs)
            if victims:
                return victims
        return []

    def _candidates_of(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        spare_punctual: bool,
        placement_pass: PlacementPass,
    ) -> list[Run]:
        tenant = step.job.spec.tenant
        key = (tenant, queue.priority, spare_punctual)
        candidates = self._candidates.get(key)
        if candidates is None:
            candidates = self._candidates[key] = preemptible_runs(
                self._runs_of(tenant),
                queue.priority,
                placement_pass.policy,
                placement_pass.now,
                spare_punctual=spare_punctual,
            )
        return candidates

    def _forget_runs(self, tenant: TenantName, victims: list[Run]) -> None:
        """Choose these runs no more in this pass."""
        keys = {run.key for run in victims}
        for runs in (
            self._runs_of(tenant),
            *(runs for key, runs in self._candidates.items() if key[0] == tenant),
        ):
            runs[:] = [run for run in runs if run.key not in keys]

    def _can_wait(
        self,
        step: StepProgress,
        queue: QueuePolicy,
        headroom: ResourceVector,
        placement_pass: PlacementPass,
    ) -> bool:
        """Return whether waiting until enough runs have ended costs the step's job nothing."""
        now = placement_pass.now
        rank = step_rank_in_queue(step, queue, now)
        expected_at = self._expected_at(
            step.needs, headroom, self._runs_of(step.job.spec.tenant), now
        )
        return expected_at <= latest_useful_start(step, rank)

    def _expected_at(
        self, needs: ResourceVector, headroom: ResourceVector, runs: list[Run], now: float
    ) -> float:
        """Return when enough runs will have ended for one task; infinity if not known."""
        ends = sorted(
            ((expected_end(run, self._stop_seconds, now), run.needs) for run in runs),
            key=itemgetter(0),
        )
        for end_at, freed in ends:
            headroom = add_vectors(headroom, freed)
            if count_fitting_tasks(headroom, needs) > 0:
                return end_at
        return math.inf

    def _headroom_of(self, tenant: TenantName, placement_pass: PlacementPass) -> ResourceVector:
        headroom = self._headroom.get(tenant)
        if headroom is None:
            headroom = placement_pass.quotas.remaining(tenant)
            until = placement_pass.now + PREEMPT_IF_LATER_SECONDS
            for run in self._runs_of(tenant):
                if expected_end(run, self._stop_seconds, placement_pass.now) <= until:
                    headroom = add_vectors(headroom, run.needs)
            self._headroom[tenant] = headroom
        return headroom

    def _runs_of(self, tenant: TenantName) -> list[Run]:
        if self._runs_by_tenant is None:
            self._runs_by_tenant = {}
            for worker in self._table.workers.values():
                for run in worker.runs.values():
                    name = run.task.step.job.spec.tenant
                    self._runs_by_tenant.setdefault(name, []).append(run)
        return self._runs_by_tenant.get(tenant, [])
