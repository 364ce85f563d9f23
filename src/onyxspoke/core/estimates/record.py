"""What is known of estimates and workers as one compact record, for a successor.

It may be lost: then a successor learns anew, and takes callers' estimates as they are meanwhile.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.sketch import LARGEST_WEIGHT, REACH
from onyxspoke.core.estimates.speeds import LARGEST_EVIDENCE, KeptSpeed, WorkerSpeed
from onyxspoke.core.estimates.work_model import WorkModel

RECORD_VERSION = 1
#: Bytes of the record at most: so many of queues and tenants, ...
MAXIMUM_WORK_BYTES = 6_000
#: ... so many of workers, ...
MAXIMUM_SPEED_BYTES = 6_000
#: ... and of what stands around them.
_FRAME_BYTES = 16
MAXIMUM_RECORD_BYTES = MAXIMUM_WORK_BYTES + MAXIMUM_SPEED_BYTES + _FRAME_BYTES
#: Weights are written in hundredths, logarithms in thousandths.
_WEIGHT_UNIT = 100.0
_LOG_UNIT = 1_000.0
_LARGEST_LOG = 10_000

Bucket = Annotated[int, Meta(ge=-REACH, le=REACH)]
Weight = Annotated[int, Meta(gt=0, le=int(LARGEST_WEIGHT * _WEIGHT_UNIT) + 1)]
LogValue = Annotated[int, Meta(ge=-_LARGEST_LOG, le=_LARGEST_LOG)]
Evidence = Annotated[int, Meta(ge=0, le=int(LARGEST_EVIDENCE * _WEIGHT_UNIT) + 1)]


class WorkEntry(msgspec.Struct, frozen=True, array_like=True):
    """What was seen of a queue, or of a tenant's work in it: weights by bucket."""

    queue: str
    tenant: str
    weights: dict[Bucket, Weight]


class SpeedEntry(msgspec.Struct, frozen=True, array_like=True):
    """What was seen of one life of a worker."""

    worker_id: str
    born_ms: int
    mean_log: LogValue
    evidence: Evidence


class EstimatesRecord(msgspec.Struct, frozen=True, array_like=True):
    """The whole record."""

    version: int
    works: list[WorkEntry]
    speeds: list[SpeedEntry]


class EstimatesRecordError(Exception):
    """The record is damaged, or of another version."""


_Entry = TypeVar("_Entry", WorkEntry, SpeedEntry)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EstimatesRecord)


def encode_estimates(durations: DurationEstimator, now: float) -> bytes:
    """Return the record; where it would be too long, what rests on most evidence stands in it."""
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
        _within([entry for entry in work_entries if entry.weights], MAXIMUM_WORK_BYTES),
        _within([entry for entry in speed_entries if entry.evidence], MAXIMUM_SPEED_BYTES),
    )
    return _encoder.encode(record)


def restore_estimates(durations: DurationEstimator, data: bytes, now: float) -> None:
    """Take over what a former holder knew; raise :class:`EstimatesRecordError`."""
    try:
        record = _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise EstimatesRecordError(str(error)) from error
    if record.version != RECORD_VERSION:
        raise EstimatesRecordError(f"version {record.version}")
    for entry in record.works:
        work = durations.find_or_add(entry.queue, entry.tenant)
        if work is not None:
            weights = {key: value / _WEIGHT_UNIT for key, value in entry.weights.items()}
            work.sketch.load(weights, now)
            work.seen_at = now
    durations.refresh_works(now)
    kept = {
        entry.worker_id: KeptSpeed(
            entry.born_ms, entry.mean_log / _LOG_UNIT, entry.evidence / _WEIGHT_UNIT
        )
        for entry in record.speeds
    }
    durations.speeds.keep_for_later(kept)


def _work_entry(work: WorkModel, now: float) -> WorkEntry:
    weights = {
        bucket: round(weight * _WEIGHT_UNIT) for bucket, weight in work.sketch.counts(now).items()
    }
    return WorkEntry(
        work.queue, work.tenant, {bucket: weight for bucket, weight in weights.items() if weight}
    )


def _speed_entry(speed: WorkerSpeed, now: float) -> SpeedEntry:
    mean = max(-_LARGEST_LOG, min(_LARGEST_LOG, round(speed.mean_log * _LOG_UNIT)))
    evidence = round(speed.evidence(now) * _WEIGHT_UNIT)
    return SpeedEntry(speed.worker_id, speed.born_ms, mean, evidence)


def _within(entries: list[_Entry], most: int) -> list[_Entry]:
    """Return the first entries that take so many bytes together."""
    chosen = []
    size = 0
    for entry in entries:
        size += len(_encoder.encode(entry))
        if size > most:
            break
        chosen.append(entry)
    return chosen
