"""Keeps what is learned of durations: worked out anew, told in the log, recorded now and then."""

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

#: Pause between two records at least, in seconds.
RECORD_SECONDS = 5.0


class EstimatesManager:
    """Looks after what is learned.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._recorded_at = -math.inf
        self._looked_at = 0.0
        self._has_changed = False

    def tick(self, now: float) -> None:
        """Work out anew what was learned, if that is due, and tell what changed much."""
        durations = self._context.durations
        durations.observing_since = max(durations.observing_since, self._context.stall_ended_at)
        if not durations.refresh_if_due(now):
            return
        self._looked_at = now
        for change in take_factor_changes(durations, now):
            self._has_changed = True
            self._log(change)

    @property
    def needs_append(self) -> bool:
        """Whether so much changed that a record is worth an append of its own."""
        return self._has_changed and self._is_due

    @property
    def _is_due(self) -> bool:
        is_paused = self._looked_at - self._recorded_at < RECORD_SECONDS
        return self._context.durations.has_unrecorded_observations and not is_paused

    def collect_records(self) -> list[ShardRecord]:
        """Return the record to go with an append, if one is due."""
        if not self._is_due:
            return []
        durations = self._context.durations
        durations.has_unrecorded_observations = False
        self._has_changed = False
        self._recorded_at = self._looked_at
        return [ShardRecord(ESTIMATES_KEY, encode_estimates(durations, self._looked_at))]

    def _log(self, change: FactorChange) -> None:
        figures = {
            "factor": round(change.factor, 2),
            "former": round(change.previous_factor, 2),
            "evidence": round(change.evidence, 1),
        }
        if change.worker_id:
            worker, kind = change.worker_id, change.kind
            self._context.log("worker_speed", worker=worker, kind=kind, **figures)
            return
        upper = round(change.upper, 2)
        self._context.log(
            "work_factor", queue=change.queue, tenant=change.tenant, upper=upper, **figures
        )


def restore_estimates_record(context: ShardContext, records: list[ShardRecord], now: float) -> None:
    """Take over what a former holder knew; a record that cannot be read is no knowledge."""
    if not context.options.load.learned_estimates:
        return
    for record in records:
        if record.key == ESTIMATES_KEY:
            try:
                restore_estimates(context.durations, record.value, now)
            except EstimatesRecordError as error:
                context.log("record_unreadable", key=record.key, error=str(error))
