"""Callers' keys at the node that they call: whose they are, by the newest configuration if need be.

Calls with a key that is not known here wait for one look at the newest version, which began after
they came and which they share: a flood of wrong keys costs the store a few reads a second, and
nobody waits for longer than two of them.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from absl import logging

from onyxspoke.core.tenants.keys import Credential, KeyVerdict, check_key
from onyxspoke.core.tenants.policy import TenantName
from onyxspoke.node.configuration_keeper import ConfigurationKeeper
from onyxspoke.node.metrics import NodeMetrics
from onyxspoke.ports.clock import Clock

#: Between two looks for keys that are not known, in seconds: four reads a second and node.
LOOK_PAUSE_SECONDS = 0.25
#: Calls that may wait for a look; more are told to come back.
MAXIMUM_WAITING = 1_000
_MILLISECONDS = 1_000.0

#: Takes the verdict, and whose the key is.
OnVerdict = Callable[[KeyVerdict, TenantName], None]


class _Waiting(msgspec.Struct):
    credential: Credential
    queue: str
    on_verdict: OnVerdict


class KeyGate:
    """Tells whose callers' keys are.

    Parameters
    ----------
    configurations : ConfigurationKeeper
        The keys in force, and the way to the newest ones.
    clock : Clock
        Source of time.
    call_later : callable
        Calls a function after so many seconds.
    trusted_seconds : float
        For how long keys are gone by without proof that they are the newest.
    metrics : NodeMetrics
        Counts verdicts.
    """

    def __init__(
        self,
        configurations: ConfigurationKeeper,
        clock: Clock,
        call_later: Callable[[float, Callable[[], None]], None],
        trusted_seconds: float,
        metrics: NodeMetrics,
    ) -> None:
        self._metrics = metrics
        self._configurations = configurations
        self._clock = clock
        self._call_later = call_later
        self._trusted_seconds = trusted_seconds
        self._waiting: list[_Waiting] = []
        #: Calls for which the look that is under way began.
        self._asking: list[_Waiting] = []
        self._is_closed = False
        self._is_looking = False
        self._look_at = 0.0

    def __len__(self) -> int:
        """Return how many calls wait for a look."""
        return len(self._waiting) + len(self._asking)

    def close(self) -> None:
        """Let no call wait any more, because the process ends soon."""
        self._is_closed = True
        waiting = [*self._asking, *self._waiting]
        self._asking.clear()
        self._waiting.clear()
        for item in waiting:
            self._tell(item, KeyVerdict.CONFIGURATION_STALE)

    def admit(self, credential: Credential, queue: str, on_verdict: OnVerdict) -> None:
        """Tell whose a key is, at once or after a look at the newest configuration."""
        waiting = _Waiting(credential, queue, on_verdict)
        verdict = self._judge(credential, was_configuration_refreshed=False)
        if verdict is not KeyVerdict.CONFIGURATION_REFRESH_NEEDED:
            self._tell(waiting, verdict)
        elif self._is_closed or len(self._waiting) >= MAXIMUM_WAITING:
            self._tell(waiting, KeyVerdict.CONFIGURATION_STALE)
        else:
            self._waiting.append(waiting)
            self._look_if_due()

    def _judge(self, credential: Credential, was_configuration_refreshed: bool) -> KeyVerdict:
        configurations = self._configurations
        keys = configurations.keys
        age = self._clock.now() - configurations.proven_at
        return check_key(credential, keys, age, self._trusted_seconds, was_configuration_refreshed)

    def _look_if_due(self) -> None:
        if self._is_looking or not self._waiting:
            return
        self._is_looking = True
        delay = max(0.0, self._look_at - self._clock.now())
        if delay:
            self._call_later(delay, self._look)
        else:
            self._look()

    def _look(self) -> None:
        self._look_at = self._clock.now() + LOOK_PAUSE_SECONDS
        self._asking, self._waiting = self._waiting, []

        def take(is_done: bool) -> None:
            self._is_looking = False
            asking, self._asking = self._asking, []
            for waiting in asking:
                verdict = KeyVerdict.CONFIGURATION_STALE
                if is_done:
                    verdict = self._judge(waiting.credential, was_configuration_refreshed=True)
                self._tell(waiting, verdict)
            self._look_if_due()

        self._configurations.look(take)

    def _tell(self, waiting: _Waiting, verdict: KeyVerdict) -> None:
        self._metrics.keys.labels(verdict.value).inc()
        tenant = self._configurations.keys.tenant_of(waiting.credential) or ""
        if verdict is not KeyVerdict.ADMITTED:
            age = self._clock.now() - self._configurations.proven_at
            logging.info(
                "event=key_refused queue=%s key=%s reason=%s version=%d proof_age_ms=%d",
                waiting.queue,
                waiting.credential.fingerprint,
                verdict.value,
                self._configurations.version,
                min(age * _MILLISECONDS, 1e9),
            )
        waiting.on_verdict(verdict, tenant)
