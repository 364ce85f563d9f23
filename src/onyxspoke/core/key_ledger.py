"""Answers of unrepeatable requests by idempotency key, at the entry that holds the key."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from onyxspoke.core.requests import RequestOrigin
from onyxspoke.core.schema import Answer


@dataclass(frozen=True, slots=True)
class KeyWaiter:
    """Someone who asked for the answer of a key that is in progress."""

    request_id: str
    origin: RequestOrigin


@dataclass(slots=True)
class KeyRun:
    """One run under a key; ``answer`` is ``None`` while it is in progress."""

    request_id: str
    fingerprint: int
    answer: Answer | None = None
    waiters: list[KeyWaiter] = field(default_factory=list)


class KeyLedger:
    """Bounded memory of key runs; only ended runs are ever forgotten."""

    def __init__(self, maximum_ended: int) -> None:
        self._maximum_ended = maximum_ended
        self._runs: dict[str, KeyRun] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()

    def get(self, key: str) -> KeyRun | None:
        """Return the run under a key, if it is remembered."""
        return self._runs.get(key)

    def begin(self, key: str, request_id: str, fingerprint: int) -> KeyRun:
        """Remember that a request is in progress under a key."""
        run = KeyRun(request_id, fingerprint)
        self._runs[key] = run
        return run

    def finish(self, key: str, answer: Answer) -> list[KeyWaiter]:
        """Remember the answer and return who waited for it."""
        run = self._runs[key]
        run.answer = answer
        waiters, run.waiters = run.waiters, []
        self._ended[key] = None
        if len(self._ended) > self._maximum_ended:
            oldest, _ = self._ended.popitem(last=False)
            del self._runs[oldest]
        return waiters

    def forget(self, key: str) -> None:
        """Forget a run, so that the key may be used afresh."""
        self._runs.pop(key, None)
        self._ended.pop(key, None)
