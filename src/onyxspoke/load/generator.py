"""Open-loop load: submissions at random moments, whatever the answers do."""

from __future__ import annotations

import random
from collections.abc import Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec
from absl import logging
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.error import ConnectError
from twisted.internet.task import deferLater

from onyxspoke.core.codes import OutcomeKind
from onyxspoke.core.schema import TaskClass
from onyxspoke.kit.hollow_work import HollowResult, HollowWork, digest_of
from onyxspoke.load.balancer import Balancer
from onyxspoke.load.http_client import CallerClient
from onyxspoke.load.records import SubmissionRecord
from onyxspoke.net.http import AnswerBody
from onyxspoke.ports.clock import Clock
from onyxspoke.settings_file import CellSettings, LoadClassSettings, LoadSettings

JOB_WAIT_SECONDS = 5.0
JOB_RETRY_SECONDS = 0.5
MAXIMUM_JOB_SECONDS = 60.0
ANSWER_TIMEOUT_GRACE_SECONDS = 5.0
_MILLISECONDS = 1_000.0
_WORK_JITTER = 0.5


class SubmitMessage(msgspec.Struct):
    """JSON body of a submission."""

    tenant: str
    service: str
    task_class: str
    payload: msgspec.Raw


@dataclass(frozen=True, slots=True)
class _WeightedClass:
    task_class: TaskClass
    load: LoadClassSettings


_encoder = msgspec.json.Encoder()
_result_decoder = msgspec.json.Decoder(HollowResult)


class LoadGenerator:
    """Submits a mix of work to all entries and records every answer.

    Parameters
    ----------
    settings : CellSettings
        The cell; its ``load`` section names the mix.
    load : LoadSettings
        Rate, duration and mix.
    clock : Clock
        Time of records.
    seed : int
        Seeds arrivals, classes, tenants and entries.
    """

    def __init__(self, settings: CellSettings, load: LoadSettings, clock: Clock, seed: int) -> None:
        self._load = load
        self._clock = clock
        self._random = random.Random(seed)
        self._run_name = f"{seed}-{self._random.getrandbits(32):08x}"
        self._tenants = settings.tenants
        self._client_delay = settings.links.to_clients_ms / _MILLISECONDS
        self._entry_names = [entry.name for entry in settings.entries]
        self._clients = {
            entry.name: CallerClient(str(entry.host), entry.http_port) for entry in settings.entries
        }
        self._balancer = Balancer(self._clients, self._random)
        catalog = settings.catalog()
        self._classes = [
            _WeightedClass(catalog[(service, name)], item)
            for service, classes in load.classes.items()
            for name, item in classes.items()
        ]
        self._weights = [item.load.share for item in self._classes]
        self._counter = 0
        self.records: list[SubmissionRecord] = []

    async def run(self) -> None:
        """Submit for the configured time, then wait for every answer and job."""
        self._balancer.start()
        end_at = self._clock.now() + self._load.duration_seconds
        next_at = self._clock.now()
        outstanding: set[Deferred[None]] = set()
        while next_at < end_at:
            delay = next_at - self._clock.now()
            if delay > 0:
                await deferLater(reactor, delay)
            for submission in self._draw():
                done = ensureDeferred(submission)
                outstanding.add(done)
                done.addBoth(partial(_discard, outstanding, done))
            next_at += self._random.expovariate(self._load.requests_per_second)
        logging.info("event=load_submitted count=%d", self._counter)
        await gatherResults(list(outstanding))
        self._balancer.stop()
        for client in self._clients.values():
            await client.close()

    def _draw(self) -> list[Coroutine[Deferred[Any], Any, None]]:
        """Draw one logical request; a share of keyed ones is submitted twice at once."""
        (chosen,) = self._random.choices(self._classes, self._weights)
        self._counter += 1
        nonce = f"{self._run_name}-{self._counter}"
        tenant = self._random.choice(self._tenants)
        payload = self._make_payload(nonce, chosen.load)
        keyed = not chosen.task_class.repeatable
        twice = keyed and self._random.random() < self._load.duplicate_share
        copies = 2 if twice else 1
        entries = self._balancer.choose(copies)
        return [
            self._submit(chosen.task_class, nonce if keyed else "", nonce, tenant, payload, entry)
            for entry in entries
        ]

    def _make_payload(self, nonce: str, load: LoadClassSettings) -> bytes:
        spread = self._random.uniform(1 - _WORK_JITTER, 1 + _WORK_JITTER)
        filler = "x" * load.payload_bytes
        return _encoder.encode(HollowWork(nonce, load.work_ms * spread, filler))

    async def _submit(
        self,
        task_class: TaskClass,
        key: str,
        nonce: str,
        tenant: str,
        payload: bytes,
        entry: str,
    ) -> None:
        record = SubmissionRecord(
            nonce=nonce,
            tenant=tenant,
            service=task_class.service,
            task_class=task_class.name,
            batch=task_class.batch,
            repeatable=task_class.repeatable,
            entry=entry,
            submitted_at=self._clock.now(),
            expected_digest=digest_of(payload),
        )
        body = _encoder.encode(
            SubmitMessage(tenant, task_class.service, task_class.name, msgspec.Raw(payload))
        )
        try:
            record = await self._exchange(record, body, key, task_class.patience_seconds)
        except TimeoutError:
            # An entry that is up must have answered by now; the audit counts this as lost.
            record = msgspec.structs.replace(record, error="timeout")
        except Exception as error:
            # Whatever breaks the exchange leaves the caller without an answer.
            record = msgspec.structs.replace(
                record,
                answered_at=self._clock.now(),
                outcome=OutcomeKind.UNKNOWN.value,
                error=type(error).__name__,
            )
        self.records.append(record)

    async def _exchange(
        self, record: SubmissionRecord, body: bytes, key: str, patience_seconds: float
    ) -> SubmissionRecord:
        path = "/v1/jobs" if record.batch else "/v1/requests"
        await self._link_delay()
        record, answer = await self._submit_somewhere(record, path, body, key, patience_seconds)
        if record.batch and answer.outcome == OutcomeKind.COMPLETED.value:
            record = msgspec.structs.replace(record, job_id=answer.job_id)
            answer = await self._await_job(record.entry, answer.job_id, patience_seconds)
        await self._link_delay()
        return _with_answer(record, answer, self._clock.now())

    async def _submit_somewhere(
        self,
        record: SubmissionRecord,
        path: str,
        body: bytes,
        key: str,
        patience_seconds: float,
    ) -> tuple[SubmissionRecord, AnswerBody]:
        """Submit; where no connection opens, nothing was sent, and another entry is tried."""
        for _ in range(len(self._entry_names)):
            client = self._clients[record.entry]
            submitted = ensureDeferred(client.submit(path, body, key))
            submitted.addTimeout(patience_seconds + ANSWER_TIMEOUT_GRACE_SECONDS, reactor)
            try:
                return record, await submitted
            except ConnectError:
                self._balancer.note_unreachable(record.entry)
                (entry,) = self._balancer.choose(1)
                record = msgspec.structs.replace(record, entry=entry)
        raise ConnectError(string="no entry accepts connections")

    async def _await_job(self, entry: str, job_id: str, patience_seconds: float) -> AnswerBody:
        """Wait for the end of a job, at any entry that knows it."""
        give_up_at = self._clock.now() + min(patience_seconds, MAXIMUM_JOB_SECONDS)
        while self._clock.now() < give_up_at:
            try:
                waiting = ensureDeferred(
                    self._clients[entry].wait_for_job(job_id, JOB_WAIT_SECONDS)
                )
                waiting.addTimeout(2 * JOB_WAIT_SECONDS, reactor)
                reply = await waiting
            except Exception:
                # The entry is gone or stuck; the job is in the log, so any other knows it.
                (entry,) = self._balancer.choose(1)
                await deferLater(reactor, JOB_RETRY_SECONDS)
                continue
            if reply.answer is not None:
                return reply.answer
        # An accepted job without an end is lost; the audit counts an empty outcome.
        return AnswerBody(outcome="", code=0, code_name="")

    async def _link_delay(self) -> None:
        if self._client_delay > 0:
            await deferLater(reactor, self._client_delay)


def _discard(outstanding: set[Deferred[None]], done: Deferred[None], _result: object) -> None:
    outstanding.discard(done)


def _with_answer(record: SubmissionRecord, answer: AnswerBody, now: float) -> SubmissionRecord:
    digest, result_nonce = "", ""
    if answer.outcome == OutcomeKind.COMPLETED.value and bytes(answer.result):
        result = _result_decoder.decode(answer.result)
        digest, result_nonce = result.digest, result.nonce
    return msgspec.structs.replace(
        record,
        answered_at=now,
        outcome=answer.outcome,
        code=answer.code,
        digest=digest,
        result_nonce=result_nonce,
    )
