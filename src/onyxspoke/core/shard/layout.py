"""How a cell is divided into shards.

The number of shards stands in the store, in the partition of the first shard; the holder of
that shard writes it once, from the number of workers that it finds.  It does not change
afterwards: a job and a worker belong to the same shard for as long as the cell lives.
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
#: The smallest shard has at least so much of an even part.
SMALLEST_PART = 0.5

_encoder = msgspec.msgpack.Encoder()
_TRAILING_NUMBER = re.compile(r"^(.*?)(\d+)$")


class CellLayout(msgspec.Struct, frozen=True, array_like=True):
    """The number of shards, and what belongs to which."""

    shard_count: int

    def shards(self) -> range:
        """Return every shard."""
        return range(self.shard_count)

    def shard_of_job(self, job_id: JobId) -> ShardId:
        """Return the shard that decides on a job."""
        return _hash(job_id) % self.shard_count

    def shard_of_worker(self, record: WorkerRecord) -> ShardId:
        """Return the shard that decides on a worker; the workers of a rack share one.

        Racks that are numbered go round the shards, so that each gets as many.
        """
        if not record.rack:
            return _hash(record.machine or record.host) % self.shard_count
        numbered = _TRAILING_NUMBER.match(record.rack)
        if numbered is None:
            return _hash(record.rack) % self.shard_count
        row, number = numbered.groups()
        return (_hash(row) + int(number)) % self.shard_count


_decoder = msgspec.msgpack.Decoder(CellLayout)


def plan_layout(
    workers: list[WorkerRecord], workers_per_shard: int, maximum_shards: int
) -> CellLayout:
    """Return the layout of a new cell.

    It has as many shards as its size wants, or fewer, so that none has far less than its part.
    """
    wanted = min(-(-len(workers) // workers_per_shard), maximum_shards)
    for count in range(wanted, 1, -1):
        layout = CellLayout(count)
        sizes = Counter(layout.shard_of_worker(record) for record in workers)
        if min(sizes[shard] for shard in layout.shards()) * count >= SMALLEST_PART * len(workers):
            return layout
    return CellLayout(1)


def encode_layout(layout: CellLayout) -> ShardRecord:
    """Return the record of a layout."""
    return ShardRecord(LAYOUT_KEY, _encoder.encode(layout))


def find_layout(records: list[ShardRecord]) -> CellLayout | None:
    """Return the layout that stands among records, if any."""
    for record in records:
        if record.key == LAYOUT_KEY and record.value:
            return _decoder.decode(record.value)
    return None


def _hash(text: str) -> int:
    return zlib.crc32(text.encode())
