"""Priority queue of requests that wait for a worker, by priority, then by deadline."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from onyxspoke.core.requests import ActiveRequest, QueueLimits, RequestState

_QueueItem = tuple[int, float, int, ActiveRequest]


class WaitingQueue:
    """A bounded priority queue of requests.

    Requests that left the ``QUEUED`` state are dropped when they reach the head.
    """

    def __init__(self, limits: QueueLimits) -> None:
        self._limits = limits
        self._heap: list[_QueueItem] = []
        self._payload_bytes_by_id: dict[str, int] = {}
        self._queued_bytes = 0
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._payload_bytes_by_id)

    @property
    def queued_bytes(self) -> int:
        """Total payload size of the queued requests, in bytes."""
        return self._queued_bytes

    def has_capacity_for(self, payload_bytes: int) -> bool:
        """Return whether the queue can take a request with ``payload_bytes`` of payload."""
        return (
            len(self._payload_bytes_by_id) < self._limits.maximum_queued
            and self._queued_bytes + payload_bytes <= self._limits.maximum_queued_bytes
        )

    def push(self, request: ActiveRequest) -> None:
        """Add a request, which must be in the ``QUEUED`` state."""
        self._push_count += 1
        size = len(request.request.payload)
        self._payload_bytes_by_id[request.request_id] = size
        self._queued_bytes += size
        heapq.heappush(self._heap, (request.priority, request.deadline, self._push_count, request))

    def discard(self, request: ActiveRequest) -> None:
        """Remove a request from the queue, if it is queued."""
        size = self._payload_bytes_by_id.pop(request.request_id, None)
        if size is not None:
            self._queued_bytes -= size

    def in_order(self) -> Iterator[ActiveRequest]:
        """Yield queued requests in order; the caller may dispatch the yielded request.

        A request that is still queued when the iteration continues keeps its position.
        """
        still_queued: list[_QueueItem] = []
        try:
            while self._heap:
                item = heapq.heappop(self._heap)
                request = item[3]
                if not self._is_current(request):
                    continue
                yield request
                if self._is_current(request):
                    still_queued.append(item)
        finally:
            for item in still_queued:
                heapq.heappush(self._heap, item)

    def expired(self, now: float) -> list[ActiveRequest]:
        """Return the queued requests whose deadline has passed."""
        return [
            item[3] for item in self._heap if item[3].deadline <= now and self._is_current(item[3])
        ]

    def _is_current(self, request: ActiveRequest) -> bool:
        return (
            request.state is RequestState.QUEUED and request.request_id in self._payload_bytes_by_id
        )
