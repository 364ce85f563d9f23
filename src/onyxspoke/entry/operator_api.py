"""HTTP resources for operators and the balancer."""

from __future__ import annotations

import time

import msgspec
from twisted.web.server import Request

from onyxspoke.core.codes import ResultCode, http_status
from onyxspoke.core.schema import EntryId, Offset, Resources
from onyxspoke.entry.shell import EntryShell
from onyxspoke.entry.telemetry import Telemetry
from onyxspoke.net.http import CodedResource, read_json, write_json
from onyxspoke.net.stream import Traffic
from onyxspoke.ports.clock import Clock

SERVICE_UNAVAILABLE = 503


class HealthBody(msgspec.Struct):
    """What the balancer asks for."""

    state: str


class MemberBody(msgspec.Struct):
    """One entry, as the log shows it."""

    entry_id: EntryId
    zone: str
    stopping: bool
    silent_seconds: float


class StatusBody(msgspec.Struct):
    """The state of one entry."""

    entry_id: EntryId
    zone: str
    stopping: bool
    holds_lease: bool
    lease_remaining_seconds: float
    applied_offset: Offset
    settings_revision: Offset
    owned_workers: int
    active_workers: int
    queued: int
    requests: int
    attempts: int
    jobs: int
    connected_peers: int
    cpu_seconds: float
    stream_bytes_received: int
    stream_bytes_sent: int
    members: list[MemberBody]


class WorkerBody(msgspec.Struct):
    """One worker, as this entry sees it."""

    worker_id: str
    zone: str
    rack: str
    generation: str
    listing: str
    draining: bool
    owner: EntryId
    epoch: int
    state: str = ""
    free: Resources | None = None
    tasks: int | None = None


class DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of a drain request."""

    draining: bool = True


_drain_decoder = msgspec.json.Decoder(DrainBody)


class HealthResource(CodedResource):
    """``GET /v1/health``: 200 while the balancer should send work here, else 503."""

    isLeaf = True

    def __init__(self, shell: EntryShell) -> None:
        super().__init__()
        self._shell = shell

    def handle_get(self, request: Request) -> None:
        """Answer the balancer."""
        if self._shell.scheduler.context.stopping:
            write_json(request, HealthBody("stopping"), SERVICE_UNAVAILABLE)
        elif not self._shell.scheduler.log.has_started:
            write_json(request, HealthBody("starting"), SERVICE_UNAVAILABLE)
        else:
            write_json(request, HealthBody("serving"))


class StatusResource(CodedResource):
    """``GET /v1/status``: the state of this entry."""

    isLeaf = True

    def __init__(self, shell: EntryShell, clock: Clock) -> None:
        super().__init__()
        self._shell = shell
        self._clock = clock

    def handle_get(self, request: Request) -> None:
        """Describe the entry."""
        context = self._shell.scheduler.context
        now = self._clock.now()
        members = [
            MemberBody(member.entry_id, member.zone, member.stopping, now - member.last_seen_at)
            for member in context.cell.members.values()
        ]
        body = StatusBody(
            entry_id=context.identity.entry_id,
            zone=context.identity.zone,
            stopping=context.stopping,
            holds_lease=context.holds_lease(now),
            lease_remaining_seconds=max(0.0, context.lease_until - now),
            applied_offset=context.cell.applied_offset,
            settings_revision=context.settings.revision,
            owned_workers=len(context.workers.workers),
            active_workers=len(context.workers.usable()),
            queued=len(context.queue),
            requests=len(context.requests),
            attempts=len(context.attempts),
            jobs=self._shell.scheduler.jobs.running_count,
            connected_peers=sum(peer.connected for peer in context.peers.peers.values()),
            cpu_seconds=time.process_time(),
            stream_bytes_received=Traffic.received,
            stream_bytes_sent=Traffic.sent,
            members=members,
        )
        write_json(request, body)


class WorkersResource(CodedResource):
    """``/v1/workers``: all workers; ``/v1/workers/ID/drain``: take one out of use."""

    def __init__(self, shell: EntryShell) -> None:
        super().__init__()
        self._shell = shell

    def getChild(self, path: bytes, request: Request) -> CodedResource:
        """Return the resource of one worker; called by Twisted."""
        if not path:
            return self
        return WorkerResource(self._shell, path.decode("utf-8", "replace"))

    def handle_get(self, request: Request) -> None:
        """List the workers."""
        context = self._shell.scheduler.context
        bodies = []
        for machine in context.machines.values():
            holding = context.cell.ownership_of(machine.worker_id)
            owned = context.workers.workers.get(machine.worker_id)
            bodies.append(
                WorkerBody(
                    worker_id=machine.worker_id,
                    zone=machine.zone,
                    rack=machine.rack,
                    generation=machine.generation,
                    listing=machine.listing.value,
                    draining=machine.worker_id in context.cell.draining,
                    owner=holding.holder,
                    epoch=holding.epoch,
                    state="" if owned is None else owned.state.value,
                    free=None if owned is None else owned.free,
                    tasks=None if owned is None else len(owned.tasks),
                )
            )
        write_json(request, bodies)


class WorkerResource(CodedResource):
    """``/v1/workers/ID``."""

    def __init__(self, shell: EntryShell, worker_id: str) -> None:
        super().__init__()
        self.putChild(b"drain", DrainResource(shell, worker_id))


class DrainResource(CodedResource):
    """``POST /v1/workers/ID/drain``."""

    isLeaf = True

    def __init__(self, shell: EntryShell, worker_id: str) -> None:
        super().__init__()
        self._shell = shell
        self._worker_id = worker_id

    def handle_post(self, request: Request) -> None:
        """Record that the worker is to get no new work, or may again."""
        body: DrainBody = read_json(request, _drain_decoder)
        self._shell.drain_worker(self._worker_id, draining=body.draining)
        write_json(request, body, http_status(ResultCode.ACCEPTED))


class HistogramsResource(CodedResource):
    """``GET /v1/histograms``: time to answer by tenant and class."""

    isLeaf = True

    def __init__(self, telemetry: Telemetry) -> None:
        super().__init__()
        self._telemetry = telemetry

    def handle_get(self, request: Request) -> None:
        """List the figures."""
        write_json(request, self._telemetry.summaries())
