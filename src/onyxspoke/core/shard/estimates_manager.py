"""Updates the learned duration estimates, logs large changes and records the estimates."""

from __future__ import annotations

import math

from onyxspoke.core.estimates.record import (
    EstimatesRecordError,
    encode_estimates,
    restore_estimates,
)
from onyxspoke.core.estimates.report import FactorChange, take_factor_changes
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.log_records import ESTIMATES_KEY, ShardRecord

#: Minimum interval between two records of the estimates.
MINIMUM_RECORD_INTERVAL_SECONDS = 5.0


class EstimatesManager:
    """Updates and records the learned estimates.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._recorded_at = -math.inf
        self._updated_at = 0.0
        self._has_large_change = False

    def tick(self, now: float) -> None:
        """Update the learned estimates if an update is due, and log large changes."""
        durations = self._context.durations
        durations.observing_since = max(durations.observing_since, self._context.stall_ended_at)
        if not durations.refresh_if_due(now):
            return
        self._updated_at = now
        for change in take_factor_changes(durations, now):
            self._has_large_change = True
            self._log_change(change)

    @property
    def needs_append(self) -> bool:
        """Whether a large change is to be recorded without waiting for another append."""
        return self._has_large_change and self._is_due

    @property
    def _is_due(self) -> bool:
        is_too_early = self._updated_at - self._recorded_at < MINIMUM_RECORD_INTERVAL_SECONDS
        return self._context.durations.has_unrecorded_observations and not is_too_early

    def collect_records(self) -> list[ShardRecord]:
        """Return the record of the estimates for the next append, if one is due."""
        if not self._is_due:
            return []
        durations = self._context.durations
        durations.has_unrecorded_observations = False
        self._has_large_change = False
        self._recorded_at = self._updated_at
        return [ShardRecord(ESTIMATES_KEY, encode_estimates(durations, self._updated_at))]

    def _log_change(self, change: FactorChange) -> None:
        factor_fields = {
            "factor": round(change.factor, 2),
            "former": round(change.previous_factor, 2),
            "evidence": round(change.evidence, 1),
        }
        if change.worker_id:
            worker, kind = change.worker_id, change.kind
            self._context.log("worker_speed", worker=worker, kind=kind, **factor_fields)
            return
        upper = round(change.upper, 2)
        self._context.log(
            "work_factor", queue=change.queue, tenant=change.tenant, upper=upper, **factor_fields
        )


def restore_estimates_record(context: ShardContext, records: list[ShardRecord], now: float) -> None:
    """Restore the estimates of a previous holder; an unreadable record is logged and skipped."""
    if not context.options.load.learned_estimates:
        return
    for record in records:
        if record.key == ESTIMATES_KEY:
            try:
                restore_estimates(context.durations, record.value, now)
            except EstimatesRecordError as error:
                context.log("record_unreadable", key=record.key, error=str(error))
