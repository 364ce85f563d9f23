"""How far from their estimates a kind of work ended: a small histogram of logarithms."""

from __future__ import annotations

from array import array

#: Width of a bucket, in natural logarithms: about a tenth of the time.
BUCKET_LOG = 0.1
#: Buckets on each side of "as estimated"; they reach to a twentieth and to twenty times.
REACH = 30
#: What was seen counts half after so long, in seconds.
HALF_LIFE_SECONDS = 600.0
#: Weight that is kept at most, so that a busy queue follows what changes.
LARGEST_WEIGHT = 200.0
#: Counts are made to decay in steps of so many seconds, so that adding one stays cheap.
_DECAY_STEP_SECONDS = 2.0
_BUCKETS = 2 * REACH + 1


class RatioSketch:
    """A decaying histogram of log(actual / estimated); it takes some 600 bytes."""

    __slots__ = ("_counts", "_decayed_at", "_total")

    def __init__(self) -> None:
        self._counts = array("d", bytes(8 * _BUCKETS))
        self._total = 0.0
        self._decayed_at = 0.0

    def add(self, log_ratio: float, weight: float, now: float) -> None:
        """Take in one observation."""
        if now - self._decayed_at >= _DECAY_STEP_SECONDS:
            self._scale(_decay(now - self._decayed_at))
            self._decayed_at = now
        bucket = max(-REACH, min(REACH, round(log_ratio / BUCKET_LOG)))
        self._counts[bucket + REACH] += weight
        self._total += weight
        if self._total > LARGEST_WEIGHT:
            self._scale(LARGEST_WEIGHT / self._total)

    def weight(self, now: float) -> float:
        """Return how much was seen, as it counts now."""
        return self._total * _decay(max(0.0, now - self._decayed_at))

    def quantile(self, share: float) -> float:
        """Return the logarithm that a share of what was seen does not exceed."""
        wanted = share * sum(self._counts)
        seen = 0.0
        for index, count in enumerate(self._counts):
            seen += count
            if count > 0.0 and seen >= wanted:
                return (index - REACH) * BUCKET_LOG
        return 0.0

    def load(self, counts: dict[int, float], now: float) -> None:
        """Replace everything by the weights of these buckets, which count from the middle."""
        self._counts = array("d", bytes(8 * _BUCKETS))
        for bucket, weight in counts.items():
            self._counts[bucket + REACH] = weight
        self._total = sum(self._counts)
        self._decayed_at = now

    def counts(self, now: float) -> dict[int, float]:
        """Return the weight of each bucket that has any, as it counts now, from the middle."""
        share = _decay(max(0.0, now - self._decayed_at))
        return {
            index - REACH: count * share for index, count in enumerate(self._counts) if count > 0.0
        }

    def _scale(self, share: float) -> None:
        for index, count in enumerate(self._counts):
            if count > 0.0:
                self._counts[index] = count * share
        self._total *= share


def _decay(seconds: float) -> float:
    return float(0.5 ** (seconds / HALF_LIFE_SECONDS))
