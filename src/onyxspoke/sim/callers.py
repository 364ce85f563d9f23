"""Callers in virtual time: they submit, wait, retry under their key, and write down all."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from onyxspoke.core.codes import OutcomeKind, ResultCode
from onyxspoke.core.schema import Answer, JobSubmission, TaskClass, TaskRequest
from onyxspoke.kit.hollow_work import HollowResult, HollowWork, digest_of
from onyxspoke.load.records import SubmissionRecord
from onyxspoke.settings_file import LoadClassSettings, LoadSettings
from onyxspoke.sim.cell import SimulatedCell, SimulatedEntry

ANSWER_GRACE_SECONDS = 3.0
RETRY_DELAY_SECONDS = 0.5
MAXIMUM_TRIES = 3
CLIENT_DELAY_SECONDS = 0.001
MAXIMUM_JOB_PATIENCE_SECONDS = 10.0

_encoder = msgspec.json.Encoder()
_result_decoder = msgspec.json.Decoder(HollowResult)


@dataclass(slots=True)
class _Submission:
    """One submission to one entry; ``job_id`` is set once a job was accepted."""

    record: SubmissionRecord
    entry: SimulatedEntry
    request: TaskRequest
    tries: int
    job_id: str = ""


class Callers:
    """Submits a mix of work in virtual time.

    Parameters
    ----------
    cell : SimulatedCell
        Where to submit.
    load : LoadSettings
        Mix of classes.
    source : random.Random
        Draws arrivals, classes, tenants and entries.
    """

    def __init__(self, cell: SimulatedCell, load: LoadSettings, source: random.Random) -> None:
        self._cell = cell
        self._load = load
        self._random = source
        catalog = cell.settings.catalog()
        self._classes: list[tuple[TaskClass, LoadClassSettings]] = [
            (catalog[(service, name)], item)
            for service, classes in load.classes.items()
            for name, item in classes.items()
        ]
        self._weights = [item.share for _, item in self._classes]
        self._counter = 0
        self.records: list[SubmissionRecord] = []
        self._open: dict[int, _Submission] = {}
        self._submission_counter = 0

    def submit_for(self, seconds: float, rate: float) -> None:
        """Submit at random moments for a while."""
        moment = self._random.expovariate(rate)
        while moment < seconds:
            self._cell.time.schedule(moment, self.submit_one)
            moment += self._random.expovariate(rate)

    def submit_one(self) -> None:
        """Submit one logical request, some of them twice at once."""
        ((task_class, item),) = self._random.choices(self._classes, self._weights)
        self._counter += 1
        nonce = f"n{self._counter}"
        tenant = self._random.choice(self._cell.settings.tenants)
        work_ms = item.work_ms * self._random.uniform(0.5, 1.5)
        payload = _encoder.encode(HollowWork(nonce, work_ms))
        keyed = not task_class.repeatable
        copies = 2 if keyed and self._random.random() < self._load.duplicate_share else 1
        request = TaskRequest(
            tenant=tenant,
            task_class=task_class,
            payload=payload,
            idempotency_key=nonce if keyed else "",
        )
        for _ in range(copies):
            self._submit(request, nonce, tries=1)

    def close(self) -> None:
        """Write down everything that is still open, accepted jobs first."""
        for submission in list(self._open.values()):
            if submission.job_id:
                self._close_job(submission)
            else:
                self._give_up(submission)
        self._open.clear()

    def _submit(self, request: TaskRequest, nonce: str, tries: int) -> None:
        entries = self._cell.up_entries()
        if not entries:
            return
        entry = self._random.choice(entries)
        submission = _Submission(self._make_record(request, nonce, entry), entry, request, tries)
        self._submission_counter += 1
        number = self._submission_counter
        self._open[number] = submission
        time = self._cell.time

        def receive(answer: Answer) -> None:
            time.schedule(CLIENT_DELAY_SECONDS, lambda: self._take(number, answer))

        def send() -> None:
            self._send(submission, receive)

        time.schedule(CLIENT_DELAY_SECONDS, lambda: entry.node.run(send))
        patience = min(request.task_class.patience_seconds, MAXIMUM_JOB_PATIENCE_SECONDS)
        time.schedule(patience + ANSWER_GRACE_SECONDS, lambda: self._handle_overdue(number))

    def _make_record(
        self, request: TaskRequest, nonce: str, entry: SimulatedEntry
    ) -> SubmissionRecord:
        task_class = request.task_class
        return SubmissionRecord(
            nonce=nonce,
            tenant=request.tenant,
            service=task_class.service,
            task_class=task_class.name,
            batch=task_class.batch,
            repeatable=task_class.repeatable,
            entry=entry.node.name,
            submitted_at=self._cell.time.now(),
            expected_digest=digest_of(request.payload),
        )

    def _send(self, submission: _Submission, receive: Callable[[Answer], None]) -> None:
        request = submission.request
        shell = submission.entry.shell
        patience = request.task_class.patience_seconds
        if request.task_class.batch:
            job = JobSubmission(job_id=f"job-{submission.record.nonce}", request=request)
            shell.submit_job(job, min(patience, MAXIMUM_JOB_PATIENCE_SECONDS), receive)
        else:
            shell.submit_request(request, patience, receive)

    def _take(self, number: int, answer: Answer) -> None:
        submission = self._open.get(number)
        if submission is None:
            return
        if answer.code is ResultCode.ACCEPTED:
            submission.job_id = f"job-{submission.record.nonce}"
            return
        del self._open[number]
        self._write_down(submission, answer)
        if answer.outcome is not OutcomeKind.COMPLETED:
            self._retry(submission)

    def _write_down(self, submission: _Submission, answer: Answer) -> None:
        digest, result_nonce = "", ""
        if answer.outcome is OutcomeKind.COMPLETED and answer.result:
            result = _result_decoder.decode(answer.result)
            digest, result_nonce = result.digest, result.nonce
        self.records.append(
            msgspec.structs.replace(
                submission.record,
                answered_at=self._cell.time.now(),
                outcome=answer.outcome.value,
                code=int(answer.code),
                digest=digest,
                result_nonce=result_nonce,
            )
        )

    def _close_job(self, submission: _Submission) -> None:
        """Take the answer of an accepted job from any entry; without one it is lost."""
        for entry in self._cell.up_entries():
            job = entry.shell.scheduler.context.cell.jobs.get(submission.job_id)
            if job is not None and job.answer is not None:
                self._write_down(submission, job.answer)
                return
        self.records.append(submission.record)

    def _handle_overdue(self, number: int) -> None:
        submission = self._open.get(number)
        if submission is None or submission.job_id:
            return
        del self._open[number]
        self._give_up(submission)
        self._retry(submission)

    def _give_up(self, submission: _Submission) -> None:
        """Know nothing without an answer; an entry that ran all the time must have answered."""
        entry = submission.entry
        disturbed = entry.was_paused or not entry.node.alive
        outcome = OutcomeKind.UNKNOWN.value if disturbed else ""
        now = self._cell.time.now()
        self.records.append(
            msgspec.structs.replace(submission.record, answered_at=now, outcome=outcome)
        )

    def _retry(self, submission: _Submission) -> None:
        request = submission.request
        if not request.idempotency_key or submission.tries >= MAXIMUM_TRIES:
            return
        nonce, tries = submission.record.nonce, submission.tries + 1
        self._cell.time.schedule(RETRY_DELAY_SECONDS, lambda: self._submit(request, nonce, tries))
