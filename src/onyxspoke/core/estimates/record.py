"""Encodes the learned durations and worker speeds as one record for the shard's next holder.

If the record is lost, the next holder starts with the callers' estimates and learns again.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.sketch import BUCKETS_PER_SIDE, MAXIMUM_WEIGHT
from onyxspoke.core.estimates.speeds import MAXIMUM_EVIDENCE, RestoredSpeed, WorkerSpeed
from onyxspoke.core.estimates.work_model import WorkModel

RECORD_VERSION = 1
#: Maximum size of the work entries in the record.
MAXIMUM_WORK_BYTES = 6_000
#: Maximum size of the speed entries in the record.
MAXIMUM_SPEED_BYTES = 6_000
#: Maximum size of the version and the headers of both lists.
_ENVELOPE_BYTES = 16
MAXIMUM_RECORD_BYTES = MAXIMUM_WORK_BYTES + MAXIMUM_SPEED_BYTES + _ENVELOPE_BYTES
#: Weights are encoded in hundredths, logarithms in thousandths.
_WEIGHT_UNIT = 100.0
_LOG_UNIT = 1_000.0
_MAXIMUM_LOG = 10_000

Bucket = Annotated[int, Meta(ge=-BUCKETS_PER_SIDE, le=BUCKETS_PER_SIDE)]
Weight = Annotated[int, Meta(gt=0, le=int(MAXIMUM_WEIGHT * _WEIGHT_UNIT) + 1)]
LogValue = Annotated[int, Meta(ge=-_MAXIMUM_LOG, le=_MAXIMUM_LOG)]
Evidence = Annotated[int, Meta(ge=0, le=int(MAXIMUM_EVIDENCE * _WEIGHT_UNIT) + 1)]


class WorkEntry(msgspec.Struct, frozen=True, array_like=True):
    """The histogram of a queue, or of a tenant in a queue: weights by bucket."""

    queue: str
    tenant: str
    weights: dict[Bucket, Weight]


class SpeedEntry(msgspec.Struct, frozen=True, array_like=True):
    """The learned speed of one incarnation of a worker."""

    worker_id: str
    born_ms: int
    mean_log: LogValue
    evidence: Evidence


class EstimatesRecord(msgspec.Struct, frozen=True, array_like=True):
    """The learned durations of a shard as they are stored in its log."""

    version: int
    works: list[WorkEntry]
    speeds: list[SpeedEntry]


class EstimatesRecordError(Exception):
    """The record is damaged or has another version."""


_Entry = TypeVar("_Entry", WorkEntry, SpeedEntry)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EstimatesRecord)


def encode_estimates(durations: DurationEstimator, now: float) -> bytes:
    """Return the encoded record; if it is too large, entries with least evidence are dropped."""
    works = sorted(
        [*durations.queues.values(), *durations.tenants.values()],
        key=lambda work: (-work.sketch.weight(now), work.queue, work.tenant),
    )
    speeds = sorted(
        durations.speeds.workers.values(),
        key=lambda speed: (-speed.evidence(now), speed.worker_id),
    )
    work_entries = [_work_entry(work, now) for work in works]
    speed_entries = [_speed_entry(speed, now) for speed in speeds]
    record = EstimatesRecord(
        RECORD_VERSION,
        _take_within([entry for entry in work_entries if entry.weights], MAXIMUM_WORK_BYTES),
        _take_within([entry for entry in speed_entries if entry.evidence], MAXIMUM_SPEED_BYTES),
    )
    return _encoder.encode(record)


def restore_estimates(durations: DurationEstimator, data: bytes, now: float) -> None:
    """Restore the previous holder's record; raise :class:`EstimatesRecordError` if unreadable."""
    try:
        record = _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise EstimatesRecordError(str(error)) from error
    if record.version != RECORD_VERSION:
        raise EstimatesRecordError(f"version {record.version}")
    for entry in record.works:
        work = durations.find_or_create(entry.queue, entry.tenant)
        if work is not None:
            weights = {key: value / _WEIGHT_UNIT for key, value in entry.weights.items()}
            work.sketch.load(weights, now)
            work.seen_at = now
    durations.refresh_work_models(now)
    restored = {
        entry.worker_id: RestoredSpeed(
            entry.born_ms, entry.mean_log / _LOG_UNIT, entry.evidence / _WEIGHT_UNIT
        )
        for entry in record.speeds
    }
    durations.speeds.set_restored(restored)


def _work_entry(work: WorkModel, now: float) -> WorkEntry:
    weights = {
        bucket: round(weight * _WEIGHT_UNIT) for bucket, weight in work.sketch.counts(now).items()
    }
    return WorkEntry(
        work.queue, work.tenant, {bucket: weight for bucket, weight in weights.items() if weight}
    )


def _speed_entry(speed: WorkerSpeed, now: float) -> SpeedEntry:
    mean_log = max(-_MAXIMUM_LOG, min(_MAXIMUM_LOG, round(speed.mean_log * _LOG_UNIT)))
    evidence = round(speed.evidence(now) * _WEIGHT_UNIT)
    return SpeedEntry(speed.worker_id, speed.born_ms, mean_log, evidence)


def _take_within(entries: list[_Entry], maximum_bytes: int) -> list[_Entry]:
    """Return the leading entries whose encoded size fits into a maximum."""
    chosen = []
    size_bytes = 0
    for entry in entries:
        size_bytes += len(_encoder.encode(entry))
        if size_bytes > maximum_bytes:
            break
        chosen.append(entry)
    return chosen
