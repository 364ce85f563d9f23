"""HTTP resources for callers: requests and durable jobs."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec
import xxhash
from twisted.internet.interfaces import IReactorTime
from twisted.web.server import Request

from onyxspoke.core.codes import (
    OnyxspokeError,
    RequestRefusedError,
    ResultCode,
    http_status,
)
from onyxspoke.core.schema import Answer, JobId, JobSubmission, TaskClass, TaskRequest
from onyxspoke.core.settings_in_force import admits_new_work, resolve_task_class
from onyxspoke.entry.catalog import Catalog
from onyxspoke.entry.shell import EntryShell
from onyxspoke.entry.telemetry import Telemetry
from onyxspoke.net.http import (
    NO_RESULT,
    AnswerBody,
    CodedResource,
    read_json,
    read_query,
    write_error,
    write_json,
)
from onyxspoke.ports.clock import Clock
from onyxspoke.settings_file import LimitSettings

MAXIMUM_KEY_LENGTH = 200
MAXIMUM_WAIT_SECONDS = 60.0
_EMPTY_PAYLOAD = msgspec.Raw(b"null")
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]


class SubmitBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of a submission."""

    tenant: _Name
    service: _Name
    task_class: _Name
    payload: msgspec.Raw = _EMPTY_PAYLOAD
    deadline_seconds: float | None = None
    tasks: int = 1


class JobBody(msgspec.Struct, kw_only=True, omit_defaults=True):
    """JSON body that describes a job."""

    job_id: JobId
    state: str
    answer: AnswerBody | None = None


_submit_decoder = msgspec.json.Decoder(SubmitBody)


class CallerApi:
    """What the caller resources share.

    Parameters
    ----------
    shell : EntryShell
        Takes the work.
    catalog : Catalog
        Known tenants and task classes.
    limits : LimitSettings
        Bounds of a submission.
    telemetry : Telemetry
        Records answers.
    clock : Clock
        Times answers.
    reactor : IReactorTime
        Ends waits for jobs.
    """

    def __init__(
        self,
        shell: EntryShell,
        catalog: Catalog,
        limits: LimitSettings,
        telemetry: Telemetry,
        clock: Clock,
        reactor: IReactorTime,
    ) -> None:
        self.reactor = reactor
        self.shell = shell
        self.catalog = catalog
        self.limits = limits
        self.telemetry = telemetry
        self.clock = clock

    def read_submission(self, request: Request) -> tuple[SubmitBody, TaskRequest]:
        """Return a checked submission.

        Raises
        ------
        OnyxspokeError
            With a 2xx or 3xx code: the submission did not run.
        """
        body: SubmitBody = read_json(request, _submit_decoder)
        self.catalog.check_tenant(body.tenant)
        declared = self.catalog.task_class(body.service, body.task_class)
        context = self.shell.scheduler.context
        task_class = resolve_task_class(context, declared)
        if not admits_new_work(context, task_class):
            raise RequestRefusedError(ResultCode.QUOTA_EXCEEDED, "the service admits no new work")
        task = TaskRequest(
            tenant=body.tenant,
            task_class=task_class,
            payload=bytes(body.payload),
            idempotency_key=_read_key(request),
        )
        return body, task

    def patience(self, body: SubmitBody, task_class: TaskClass) -> float:
        """Return for how many seconds the caller waits."""
        seconds = body.deadline_seconds
        if seconds is None:
            return task_class.patience_seconds
        if not 0 < seconds <= self.limits.deadline_seconds:
            raise RequestRefusedError(
                ResultCode.DEADLINE_OUT_OF_RANGE,
                f"deadline_seconds must be over 0 and at most {self.limits.deadline_seconds}",
            )
        return seconds


class RequestsResource(CodedResource):
    """``POST /v1/requests``: submit a request and wait for its answer."""

    isLeaf = True

    def __init__(self, api: CallerApi) -> None:
        super().__init__()
        self._api = api

    def handle_post(self, request: Request) -> None:
        """Submit; the HTTP answer is written when the outcome is known."""
        api = self._api
        body, task = api.read_submission(request)
        if task.task_class.batch:
            raise RequestRefusedError(
                ResultCode.MALFORMED_REQUEST, "a batch class is submitted to /v1/jobs"
            )
        patience = api.patience(body, task.task_class)
        exchange = _Exchange(api, request, task)
        request_id = api.shell.submit_request(task, patience, exchange.finish)
        exchange.watch(request_id)


class JobsResource(CodedResource):
    """``/v1/jobs``: submit durable jobs, ask for them and cancel them."""

    def __init__(self, api: CallerApi) -> None:
        super().__init__()
        self._api = api
        self._job_counter = 0

    def getChild(self, path: bytes, request: Request) -> CodedResource:
        """Return the resource of one job; called by Twisted."""
        if not path:
            return self
        return JobResource(self._api, path.decode("utf-8", "replace"))

    def handle_post(self, request: Request) -> None:
        """Submit a job; answered once the job is in the log."""
        api = self._api
        body, task = api.read_submission(request)
        if not task.task_class.batch:
            raise RequestRefusedError(
                ResultCode.MALFORMED_REQUEST, "a request class is submitted to /v1/requests"
            )
        if not 1 <= body.tasks <= api.limits.job_tasks:
            raise RequestRefusedError(
                ResultCode.MALFORMED_REQUEST, f"tasks must be 1 to {api.limits.job_tasks}"
            )
        patience = api.patience(body, task.task_class)
        job_id = self._job_id(task)
        job = JobSubmission(job_id=job_id, request=task, task_count=body.tasks)
        exchange = _Exchange(api, request, task, job_id)
        api.shell.submit_job(job, min(patience, MAXIMUM_WAIT_SECONDS), exchange.finish)

    def _job_id(self, task: TaskRequest) -> JobId:
        """Return the job's identifier; the same key gives the same job."""
        if task.idempotency_key:
            digest = xxhash.xxh3_128_hexdigest(f"{task.tenant}/{task.idempotency_key}".encode())
            return f"job-{digest}"
        self._job_counter += 1
        return f"job-{self._api.shell.entry_id}-{self._job_counter}"


class JobResource(CodedResource):
    """``/v1/jobs/ID``: one job."""

    isLeaf = True

    def __init__(self, api: CallerApi, job_id: JobId) -> None:
        super().__init__()
        self._api = api
        self._job_id = job_id

    def handle_get(self, request: Request) -> None:
        """Describe the job; with ``?wait=SECONDS`` wait for its end that long."""
        body = self._describe()
        wait = _read_wait(request)
        if body.answer is not None or wait <= 0:
            write_json(request, body)
            return
        _JobWait(self, self._api, request, self._job_id).begin(wait)

    def handle_delete(self, request: Request) -> None:
        """Cancel the job."""
        self._describe()
        self._api.shell.cancel_job(self._job_id)
        write_json(request, self._describe(), http_status(ResultCode.ACCEPTED))

    def write_description(self, request: Request) -> None:
        """Finish a request with the job's description."""
        try:
            write_json(request, self._describe())
        except OnyxspokeError as error:
            write_error(request, error)

    def _describe(self) -> JobBody:
        entry = self._api.shell.scheduler.context.cell.jobs.get(self._job_id)
        if entry is None:
            raise OnyxspokeError(ResultCode.NO_SUCH_JOB, f"no job {self._job_id}")
        if entry.answer is None:
            return JobBody(job_id=self._job_id, state="accepted")
        answer = _to_body(entry.answer, job_id=self._job_id)
        return JobBody(job_id=self._job_id, state="ended", answer=answer)


class _JobWait:
    """One HTTP request that waits for the end of a job."""

    def __init__(
        self, resource: JobResource, api: CallerApi, request: Request, job_id: JobId
    ) -> None:
        self._resource = resource
        self._shell = api.shell
        self._reactor = api.reactor
        self._request = request
        self._job_id = job_id
        self._done = False

    def begin(self, seconds: float) -> None:
        """Wait for at most so many seconds."""
        self._timer = self._reactor.callLater(seconds, self._finish)
        self._shell.wait_for_job(self._job_id, self._finish)
        self._request.notifyFinish().addErrback(lambda _failure: self._abandon())

    def _finish(self) -> None:
        if self._release():
            self._resource.write_description(self._request)

    def _abandon(self) -> None:
        self._release()

    def _release(self) -> bool:
        if self._done:
            return False
        self._done = True
        if self._timer.active():
            self._timer.cancel()
        self._shell.stop_waiting_for_job(self._job_id, self._finish)
        return True


class _Exchange:
    """One HTTP request that waits for the answer to a submission."""

    def __init__(
        self, api: CallerApi, request: Request, task: TaskRequest, job_id: JobId = ""
    ) -> None:
        self._api = api
        self._request = request
        self._task = task
        self._job_id = job_id
        self._started_at = api.clock.now()
        self._request_id = ""
        self._finished = False
        self._gone = False
        request.notifyFinish().addErrback(lambda _failure: self._handle_gone())

    def watch(self, request_id: str) -> None:
        """Know the request's identifier, to give it up when the caller goes away."""
        self._request_id = request_id

    def finish(self, answer: Answer) -> None:
        """Write the final answer."""
        self._finished = True
        task_class = self._task.task_class
        elapsed = self._api.clock.now() - self._started_at
        name = f"{task_class.service}/{task_class.name}"
        self._api.telemetry.record_answer(self._task.tenant, name, answer.code, elapsed)
        if self._gone:
            return
        if answer.retry_after_seconds:
            seconds = str(max(1, math.ceil(answer.retry_after_seconds)))
            self._request.setHeader(b"retry-after", seconds.encode())
        body = _to_body(answer, request_id=self._request_id, job_id=self._job_id)
        write_json(self._request, body, http_status(answer.code))

    def _handle_gone(self) -> None:
        self._gone = True
        if not self._finished and self._request_id:
            self._api.shell.hang_up(self._request_id)


def _to_body(answer: Answer, *, request_id: str = "", job_id: JobId = "") -> AnswerBody:
    return AnswerBody(
        outcome=answer.outcome.value,
        code=int(answer.code),
        code_name=answer.code.name,
        message=answer.message,
        request_id=request_id,
        job_id=job_id,
        result=msgspec.Raw(answer.result) if answer.result else NO_RESULT,
        retry_after_seconds=answer.retry_after_seconds,
        worker_id=answer.worker_id,
    )


def _read_key(request: Request) -> str:
    key = request.getHeader("idempotency-key") or ""
    if len(key) > MAXIMUM_KEY_LENGTH:
        raise RequestRefusedError(
            ResultCode.MALFORMED_REQUEST,
            f"Idempotency-Key must be at most {MAXIMUM_KEY_LENGTH} characters",
        )
    return key


def _read_wait(request: Request) -> float:
    text = read_query(request, "wait", "0")
    try:
        seconds = float(text)
    except ValueError as error:
        raise OnyxspokeError(ResultCode.MALFORMED_REQUEST, "wait: expected seconds") from error
    if not math.isfinite(seconds):
        raise OnyxspokeError(ResultCode.MALFORMED_REQUEST, "wait: expected seconds")
    return min(seconds, MAXIMUM_WAIT_SECONDS)
