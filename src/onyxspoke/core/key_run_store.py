"""Stores answers of unrepeatable requests by idempotency key, at the key's holder."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from onyxspoke.core.requests import RequestOrigin
from onyxspoke.core.schema import Answer


@dataclass(frozen=True, slots=True)
class KeyWaiter:
    """A request that waits for the answer of a key's run in progress."""

    request_id: str
    origin: RequestOrigin


@dataclass(slots=True)
class KeyRun:
    """One run under a key; ``answer`` is ``None`` while the run is in progress."""

    request_id: str
    fingerprint: int
    answer: Answer | None = None
    waiters: list[KeyWaiter] = field(default_factory=list)


class KeyRunStore:
    """Key runs in memory; beyond a limit, the run that ended first is evicted."""

    def __init__(self, maximum_ended: int) -> None:
        self._maximum_ended = maximum_ended
        self._runs: dict[str, KeyRun] = {}
        self._ended_keys: OrderedDict[str, None] = OrderedDict()

    def get(self, key: str) -> KeyRun | None:
        """Return the run under a key, or ``None`` if none is stored."""
        return self._runs.get(key)

    def begin(self, key: str, request_id: str, fingerprint: int) -> KeyRun:
        """Store a new run of a request under a key."""
        run = KeyRun(request_id, fingerprint)
        self._runs[key] = run
        return run

    def finish(self, key: str, answer: Answer) -> list[KeyWaiter]:
        """Store the answer of a run and return its waiters."""
        run = self._runs[key]
        run.answer = answer
        waiters, run.waiters = run.waiters, []
        self._ended_keys[key] = None
        if len(self._ended_keys) > self._maximum_ended:
            oldest, _ = self._ended_keys.popitem(last=False)
            del self._runs[oldest]
        return waiters

    def forget(self, key: str) -> None:
        """Remove a run, so that a new request may use the key."""
        self._runs.pop(key, None)
        self._ended_keys.pop(key, None)
