"""A small histogram of the logarithms of actual over estimated durations."""

from __future__ import annotations

from array import array

#: Width of a bucket as a natural logarithm: about a tenth of the duration.
BUCKET_LOG = 0.1
#: Buckets on each side of ratio 1; they cover ratios from a twentieth to twenty.
BUCKETS_PER_SIDE = 30
#: Half-life of an observation's weight, in seconds.
HALF_LIFE_SECONDS = 600.0
#: Maximum total weight, so that a busy queue's histogram still follows changes.
MAXIMUM_WEIGHT = 200.0
#: Interval of the decay in seconds; a longer interval makes adding an observation cheaper.
_DECAY_STEP_SECONDS = 2.0
_BUCKETS = 2 * BUCKETS_PER_SIDE + 1


class RatioSketch:
    """A decaying histogram of log(actual / estimated) that takes about 600 bytes."""

    __slots__ = ("_counts", "_decayed_at", "_total")

    def __init__(self) -> None:
        self._counts = array("d", bytes(8 * _BUCKETS))
        self._total = 0.0
        self._decayed_at = 0.0

    def add(self, log_ratio: float, weight: float, now: float) -> None:
        """Add one observation."""
        if now - self._decayed_at >= _DECAY_STEP_SECONDS:
            self._scale(_decay(now - self._decayed_at))
            self._decayed_at = now
        bucket = max(-BUCKETS_PER_SIDE, min(BUCKETS_PER_SIDE, round(log_ratio / BUCKET_LOG)))
        self._counts[bucket + BUCKETS_PER_SIDE] += weight
        self._total += weight
        if self._total > MAXIMUM_WEIGHT:
            self._scale(MAXIMUM_WEIGHT / self._total)

    def weight(self, now: float) -> float:
        """Return the decayed total weight of the observations."""
        return self._total * _decay(max(0.0, now - self._decayed_at))

    def quantile(self, share: float) -> float:
        """Return the logarithm that the given share of the total weight does not exceed."""
        target_weight = share * sum(self._counts)
        cumulative_weight = 0.0
        for index, count in enumerate(self._counts):
            cumulative_weight += count
            if count > 0.0 and cumulative_weight >= target_weight:
                return (index - BUCKETS_PER_SIDE) * BUCKET_LOG
        return 0.0

    def load(self, counts: dict[int, float], now: float) -> None:
        """Replace all weights; bucket 0 is the bucket of ratio 1."""
        self._counts = array("d", bytes(8 * _BUCKETS))
        for bucket, weight in counts.items():
            self._counts[bucket + BUCKETS_PER_SIDE] = weight
        self._total = sum(self._counts)
        self._decayed_at = now

    def counts(self, now: float) -> dict[int, float]:
        """Return the decayed weights of all non-empty buckets; bucket 0 is that of ratio 1."""
        share = _decay(max(0.0, now - self._decayed_at))
        return {
            index - BUCKETS_PER_SIDE: count * share
            for index, count in enumerate(self._counts)
            if count > 0.0
        }

    def _scale(self, share: float) -> None:
        for index, count in enumerate(self._counts):
            if count > 0.0:
                self._counts[index] = count * share
        self._total *= share


def _decay(seconds: float) -> float:
    return float(0.5 ** (seconds / HALF_LIFE_SECONDS))
