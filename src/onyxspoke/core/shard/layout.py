"""Layout of a cell: the number of shards, and the shard of each job and worker.

The holder of the first shard computes the number of shards from the number of workers, and writes
it once to the partition of the first shard.  The number never changes afterwards, so a job or a
worker stays in the same shard for the lifetime of the cell.
"""

from __future__ import annotations

import re
import zlib
from collections import Counter

import msgspec

from onyxspoke.core.jobs.model import JobId
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.log_records import LAYOUT_KEY, ShardId, ShardRecord

#: The shard whose partition holds the layout.
FIRST_SHARD: ShardId = 0
#: Smallest permitted size of a shard, as a fraction of the average shard size in workers.
MINIMUM_SHARD_FRACTION = 0.5

_encoder = msgspec.msgpack.Encoder()
_TRAILING_NUMBER = re.compile(r"^(.*?)(\d+)$")


class CellLayout(msgspec.Struct, frozen=True, array_like=True):
    """The number of shards, and the assignment of jobs and workers to shards."""

    shard_count: int

    def shards(self) -> range:
        """Return the identifiers of all shards."""
        return range(self.shard_count)

    def shard_of_job(self, job_id: JobId) -> ShardId:
        """Return the shard that schedules a job."""
        return _stable_hash(job_id) % self.shard_count

    def shard_of_worker(self, record: WorkerRecord) -> ShardId:
        """Return the shard that manages a worker; all workers of a rack belong to one shard.

        Racks whose names end in a number are assigned to the shards in turn, so that all shards
        have about the same number of racks.
        """
        if not record.rack:
            return _stable_hash(record.machine or record.host) % self.shard_count
        match = _TRAILING_NUMBER.match(record.rack)
        if match is None:
            return _stable_hash(record.rack) % self.shard_count
        rack_prefix, number = match.groups()
        return (_stable_hash(rack_prefix) + int(number)) % self.shard_count


_decoder = msgspec.msgpack.Decoder(CellLayout)


def plan_layout(
    workers: list[WorkerRecord], workers_per_shard: int, maximum_shards: int
) -> CellLayout:
    """Return the layout of a new cell.

    The number of shards follows from the number of workers.  It is reduced if some shard would
    otherwise have too few workers.
    """
    wanted_count = min(-(-len(workers) // workers_per_shard), maximum_shards)
    for count in range(wanted_count, 1, -1):
        layout = CellLayout(count)
        shard_sizes = Counter(layout.shard_of_worker(record) for record in workers)
        if min(
            shard_sizes[shard] for shard in layout.shards()
        ) * count >= MINIMUM_SHARD_FRACTION * len(workers):
            return layout
    return CellLayout(1)


def encode_layout(layout: CellLayout) -> ShardRecord:
    """Return the record that stores a layout."""
    return ShardRecord(LAYOUT_KEY, _encoder.encode(layout))


def find_layout(records: list[ShardRecord]) -> CellLayout | None:
    """Return the layout that is stored among records, or ``None``."""
    for record in records:
        if record.key == LAYOUT_KEY and record.value:
            return _decoder.decode(record.value)
    return None


def _stable_hash(text: str) -> int:
    return zlib.crc32(text.encode())
