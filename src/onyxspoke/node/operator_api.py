"""The product's own interface of a node: jobs of several steps, and what the node knows.

POST   /v1/queues/QUEUE/jobs/ID   hand a job in
GET    /v1/queues/QUEUE           how many accepted jobs have not begun
GET    /v1/jobs/ID                a job's state
DELETE /v1/jobs/ID                cancel a job
GET    /v1/status                 what this node holds or follows, and its workers
GET    /v1/tenants                what the shards that this node holds know of each tenant
GET    /v1/admission              which queues take jobs, as far as this node knows
GET    /v1/estimates              what the shards held here have learned of how long work takes
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.web.server import Request

from onyxspoke.core.admission.verdict import is_load_refusal
from onyxspoke.core.codes import OnyxspokeError, ResultCode
from onyxspoke.core.jobs.model import JobId, JobSpec, Schedule, StepSpec
from onyxspoke.core.jobs.validation import check_job
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard.calls import (
    Call,
    CallReply,
    CancelCall,
    ReplyCode,
    StateCall,
    SubmitCall,
    WaitingCountCall,
)
from onyxspoke.core.shard.tenant_summary import TenantSummary, summarise_tenants
from onyxspoke.net.bounded_http import BoundedSite, HttpLimits
from onyxspoke.net.http import (
    CodedResource,
    read_json,
    set_retry_after,
    write_error,
    write_json,
)
from onyxspoke.node.load_reports import describe_admission, describe_estimates
from onyxspoke.node.node import Node

#: A call that no holder has answered by then is told to be unknown.
PATIENCE_SECONDS = 3.0


class StepBody(msgspec.Struct, forbid_unknown_fields=True):
    """One step, as an operator writes it; see :class:`StepSpec` for the fields."""

    task_count: int
    processors_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    spread_limit: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    disruption_budget: int = -1


class ScheduleBody(msgspec.Struct, forbid_unknown_fields=True):
    """Times of a job that is run more than once."""

    count: int
    start_at_ms: int
    interval_ms: int


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """A job, as an operator writes it."""

    payload: str
    steps: list[StepBody]
    schedule: ScheduleBody | None = None
    tenant: str = ""


class JobAnswer(msgspec.Struct, omit_defaults=True):
    """What is told of a job or of a queue."""

    job_id: JobId = ""
    state: str = ""
    queue: str = ""
    waiting: int | None = None


class ShardStatus(msgspec.Struct):
    """What this node knows of a shard."""

    shard: int
    state: str
    holder: str
    token: int
    jobs: int
    runs: int


class WorkerStatus(msgspec.Struct):
    """What the holder knows of a worker."""

    worker_id: str
    rack: str
    kind: str
    listing: str
    contact: str
    runs: int
    free_processors_milli: int
    free_memory_mb: int


class NodeStatus(msgspec.Struct):
    """What a node knows."""

    life: str
    is_ready: bool
    reaches_store: bool
    configuration_version: int
    peers: list[str]
    shards: list[ShardStatus]
    workers: list[WorkerStatus]


class ShardTenant(TenantSummary, kw_only=True):
    """A tenant, as the holder of one shard knows it."""

    shard: int


class TenantsAnswer(msgspec.Struct):
    """What the shards that a node holds know of each tenant, and how many shards there are."""

    held_shards: list[int]
    shard_count: int
    tenants: list[ShardTenant]


_decoder = msgspec.json.Decoder(JobBody)


def make_operator_site(node: Node, reactor: IReactorTime) -> BoundedSite:
    """Return the site of the product's own interface."""
    version = CodedResource()
    version.putChild(b"queues", QueuesResource(node))
    version.putChild(b"jobs", JobsResource(node))
    version.putChild(b"status", StatusResource(node))
    version.putChild(b"tenants", TenantsResource(node))
    version.putChild(b"admission", ReportResource(lambda: describe_admission(node)))
    version.putChild(b"estimates", ReportResource(lambda: describe_estimates(node)))
    root = CodedResource()
    root.putChild(b"v1", version)
    return BoundedSite(root, reactor, HttpLimits())


class QueuesResource(CodedResource):
    """``/v1/queues/QUEUE`` and ``/v1/queues/QUEUE/jobs/ID``."""

    isLeaf = True

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def handle_get(self, request: Request) -> None:
        """Count the waiting jobs of a queue."""
        [queue] = _path_parts(request, 1)
        _submit(self._node, request, "", WaitingCountCall(queue), JobAnswer(queue=queue))

    def handle_post(self, request: Request) -> None:
        """Hand a job in."""
        queue, literal, job_id = _path_parts(request, 3)
        if literal != "jobs":
            raise OnyxspokeError(ResultCode.NO_SUCH_PATH)
        job = _read_job(self._node, request, queue, job_id)
        _submit(self._node, request, job_id, SubmitCall(job), JobAnswer(job_id=job_id))


class JobsResource(CodedResource):
    """``/v1/jobs/ID``."""

    isLeaf = True

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def handle_get(self, request: Request) -> None:
        """Tell a job's state."""
        [job_id] = _path_parts(request, 1)
        _submit(self._node, request, job_id, StateCall(job_id), JobAnswer(job_id=job_id))

    def handle_delete(self, request: Request) -> None:
        """Cancel a job."""
        [job_id] = _path_parts(request, 1)
        _submit(self._node, request, job_id, CancelCall(job_id), JobAnswer(job_id=job_id))


class StatusResource(CodedResource):
    """``/v1/status``."""

    isLeaf = True

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def handle_get(self, request: Request) -> None:
        """Tell what the node knows."""
        write_json(request, describe_node(self._node))


class TenantsResource(CodedResource):
    """``/v1/tenants``."""

    isLeaf = True

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def handle_get(self, request: Request) -> None:
        """Tell what the shards held here know of each tenant."""
        write_json(request, describe_tenants(self._node))


class ReportResource(CodedResource):
    """A path that tells what the node knows of one matter."""

    isLeaf = True

    def __init__(self, describe: Callable[[], msgspec.Struct]) -> None:
        super().__init__()
        self._describe = describe

    def handle_get(self, request: Request) -> None:
        """Tell it."""
        write_json(request, self._describe())


def describe_tenants(node: Node) -> TenantsAnswer:
    """Return what the shards that a node holds know of each tenant."""
    held = {
        shard: seat.scheduler
        for shard, seat in node.seats.items()
        if seat.is_holding and seat.scheduler is not None
    }
    tenants = [
        ShardTenant(shard=shard, **msgspec.structs.asdict(summary))
        for shard, scheduler in held.items()
        for summary in summarise_tenants(scheduler.context, scheduler.quotas.allocation_of)
    ]
    shard_count = node.layout.shard_count if node.layout is not None else 0
    return TenantsAnswer(held_shards=list(held), shard_count=shard_count, tenants=tenants)


def describe_node(node: Node) -> NodeStatus:
    """Return what a node knows."""
    configuration = node.configuration
    workers = [
        _describe_worker(worker)
        for seat in node.seats.values()
        if seat.scheduler is not None
        for worker in seat.scheduler.context.table.workers.values()
    ]
    return NodeStatus(
        life=node.identity.incarnation,
        is_ready=node.is_ready,
        reaches_store=node.store.is_reachable,
        configuration_version=configuration.version if configuration is not None else 0,
        peers=sorted(link.host for link in node.peers.up_links()),
        shards=[_describe_shard(node, shard) for shard in node.seats],
        workers=workers,
    )


def _describe_shard(node: Node, shard: int) -> ShardStatus:
    seat = node.seats[shard]
    claim = seat.election.claim
    scheduler = seat.scheduler
    return ShardStatus(
        shard=shard,
        state=seat.election.state.value,
        holder=claim.incarnation if claim is not None else "",
        token=claim.token if claim is not None else 0,
        jobs=len(scheduler.context.job_registry.jobs) if scheduler is not None else 0,
        runs=scheduler.context.table.run_count() if scheduler is not None else 0,
    )


def _describe_worker(worker: Worker) -> WorkerStatus:
    record = worker.record
    return WorkerStatus(
        worker_id=record.worker_id,
        rack=record.rack,
        kind=record.kind,
        listing=worker.listing.value,
        contact=worker.contact.value,
        runs=len(worker.runs),
        free_processors_milli=worker.free_processors,
        free_memory_mb=worker.free_memory,
    )


def _path_parts(request: Request, count: int) -> list[str]:
    parts = [part.decode("utf-8", "replace") for part in request.postpath or [] if part]
    if len(parts) != count:
        raise OnyxspokeError(ResultCode.NO_SUCH_PATH)
    return parts


def _read_job(node: Node, request: Request, queue: str, job_id: JobId) -> JobSpec:
    configuration = node.configuration
    if configuration is None or queue not in configuration.policy.queues:
        raise OnyxspokeError(ResultCode.NO_SUCH_QUEUE, f"no queue {queue}")
    body: JobBody = read_json(request, _decoder)
    schedule = Schedule()
    if body.schedule is not None:
        schedule = Schedule(**msgspec.structs.asdict(body.schedule))
    job = JobSpec(
        job_id=job_id,
        queue=configuration.policy.queues[queue],
        payload=body.payload,
        steps=tuple(StepSpec(**msgspec.structs.asdict(step)) for step in body.steps),
        schedule=schedule,
        tenant=body.tenant,
    )
    check_job(job)
    return job


def _submit(node: Node, request: Request, job_id: JobId, call: Call, answer: JobAnswer) -> None:
    is_gone = False

    def note_gone(_failure: object) -> None:
        nonlocal is_gone
        is_gone = True

    def finish(reply: CallReply) -> None:
        if not is_gone:
            _write_reply(request, reply, answer)

    request.notifyFinish().addErrback(note_gone)
    node.submit_call(job_id, call, finish, PATIENCE_SECONDS)


def _write_reply(request: Request, reply: CallReply, answer: JobAnswer) -> None:
    if reply.code is ReplyCode.OK:
        answer.state = reply.state
        if answer.queue:
            answer.waiting = reply.waiting
        write_json(request, answer)
    elif reply.code is ReplyCode.NO_SUCH_JOB:
        write_error(request, OnyxspokeError(ResultCode.NO_SUCH_JOB, f"no job {answer.job_id}"))
    elif reply.code is ReplyCode.REFUSED:
        set_retry_after(request, reply.retry_after_seconds)
        is_load = is_load_refusal(reply.reason)
        code = ResultCode.TOO_MUCH_WAITS if is_load else ResultCode.NO_HOLDER
        write_error(request, OnyxspokeError(code, reply.reason))
    else:
        write_error(request, OnyxspokeError(ResultCode.HOLDER_UNKNOWN, reply.reason))
