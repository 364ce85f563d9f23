"""Requests that wait for a worker: urgent first, then by deadline."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from onyxspoke.core.requests import ActiveRequest, QueueLimits, RequestState

_QueueItem = tuple[int, float, int, ActiveRequest]


class WaitingQueue:
    """A bounded priority queue of requests.

    Requests that left the ``QUEUED`` state are dropped lazily when they surface.
    """

    def __init__(self, limits: QueueLimits) -> None:
        self._limits = limits
        self._heap: list[_QueueItem] = []
        self._queued: dict[str, int] = {}
        self._queued_bytes = 0
        self._counter = 0

    def __len__(self) -> int:
        return len(self._queued)

    @property
    def queued_bytes(self) -> int:
        """Sum of payload sizes in the queue."""
        return self._queued_bytes

    def has_room_for(self, payload_bytes: int) -> bool:
        """Return whether one more request is within the bounds."""
        return (
            len(self._queued) < self._limits.maximum_queued
            and self._queued_bytes + payload_bytes <= self._limits.maximum_queued_bytes
        )

    def push(self, request: ActiveRequest) -> None:
        """Add a request; it must be in the ``QUEUED`` state."""
        self._counter += 1
        size = len(request.request.payload)
        self._queued[request.request_id] = size
        self._queued_bytes += size
        heapq.heappush(self._heap, (request.priority, request.deadline, self._counter, request))

    def discard(self, request: ActiveRequest) -> None:
        """Forget a request that leaves the queue."""
        size = self._queued.pop(request.request_id, None)
        if size is not None:
            self._queued_bytes -= size

    def in_order(self) -> Iterator[ActiveRequest]:
        """Yield queued requests in order; the caller may dispatch the one yielded.

        A request that is still queued when the iteration goes on keeps its place.
        """
        kept: list[_QueueItem] = []
        try:
            while self._heap:
                item = heapq.heappop(self._heap)
                request = item[3]
                if not self._is_current(request):
                    continue
                yield request
                if self._is_current(request):
                    kept.append(item)
        finally:
            for item in kept:
                heapq.heappush(self._heap, item)

    def expired(self, now: float) -> list[ActiveRequest]:
        """Return the queued requests whose deadline has passed."""
        return [
            item[3] for item in self._heap if item[3].deadline <= now and self._is_current(item[3])
        ]

    def _is_current(self, request: ActiveRequest) -> bool:
        return request.state is RequestState.QUEUED and request.request_id in self._queued
