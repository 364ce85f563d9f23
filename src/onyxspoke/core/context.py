"""State of one entry, shared by the modules of the scheduling core."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from onyxspoke.core.actions import Action
from onyxspoke.core.append_queue import AppendOptions, AppendQueue
from onyxspoke.core.cell_state import CellLimits, CellState
from onyxspoke.core.codes import ResultCode
from onyxspoke.core.key_run_store import KeyRunStore
from onyxspoke.core.log_records import LogStream
from onyxspoke.core.ownership import LeaseOptions
from onyxspoke.core.peer_table import PeerTable
from onyxspoke.core.requests import ActiveRequest, QueueLimits
from onyxspoke.core.schema import Answer, AttemptId, EntryId, EntryIdentity, MachineRecord, WorkerId
from onyxspoke.core.settings_tree import SettingsTree
from onyxspoke.core.waiting_queue import WaitingQueue
from onyxspoke.core.worker_table import WorkerTable


class CoreOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the scheduling core."""

    lease: LeaseOptions = LeaseOptions()
    append: AppendOptions = AppendOptions()
    queue: QueueLimits = QueueLimits()
    cell: CellLimits = CellLimits()
    advertise_interval_seconds: float = 0.2
    maximum_advertise_interval_seconds: float = 1.0
    advertisement_lifetime_seconds: float = 3.0
    plan_interval_seconds: float = 0.25
    reattach_interval_seconds: float = 0.5
    log_timeout_seconds: float = 1.0
    retry_after_seconds: float = 1.0
    settings_change_timeout_seconds: float = 5.0
    snapshot_interval_seconds: float = 600.0
    minimum_stop_seconds: float = 2.0
    maximum_ended_keys: int = 20_000


@dataclass(slots=True)
class EntryContext:
    """State of one entry, and the actions that the shell has not yet taken over."""

    identity: EntryIdentity
    options: CoreOptions
    cell: CellState
    settings: SettingsTree
    append_queues: dict[LogStream, AppendQueue]
    workers: WorkerTable
    peers: PeerTable
    queue: WaitingQueue
    key_runs: KeyRunStore
    machines: dict[WorkerId, MachineRecord] = field(default_factory=dict)
    requests: dict[str, ActiveRequest] = field(default_factory=dict)
    attempts: dict[AttemptId, ActiveRequest] = field(default_factory=dict)
    actions: list[Action] = field(default_factory=list)
    lease_until: float = float("-inf")
    log_read_at: float = float("-inf")
    holdover_promised_until: dict[EntryId, float] = field(default_factory=dict)
    takeover_pending_from: set[EntryId] = field(default_factory=set)
    stopping: bool = False

    @property
    def cell_append_queue(self) -> AppendQueue:
        """The append queue of the cell stream."""
        return self.append_queues[LogStream.CELL]

    def emit(self, action: Action) -> None:
        """Add an action for the shell to carry out."""
        self.actions.append(action)

    def log_is_down(self, now: float) -> bool:
        """Return whether appends to the cell stream have failed for the log timeout or longer."""
        return self.cell_append_queue.failing_seconds(now) >= self.options.log_timeout_seconds

    def refusal(self, code: ResultCode) -> Answer:
        """Return an answer that refuses a request and tells the caller when to retry."""
        return Answer(code=code, retry_after_seconds=self.options.retry_after_seconds)

    def holds_lease(self, now: float) -> bool:
        """Return whether this entry's lease is valid."""
        return now < self.lease_until


def make_context(identity: EntryIdentity, options: CoreOptions) -> EntryContext:
    """Return the initial state of an entry."""
    return EntryContext(
        identity=identity,
        options=options,
        cell=CellState(options.cell),
        settings=SettingsTree(),
        append_queues={
            LogStream.CELL: AppendQueue(identity, options.append, renews_lease=True),
            LogStream.SETTINGS: AppendQueue(identity, options.append, renews_lease=False),
        },
        workers=WorkerTable(),
        peers=PeerTable(),
        queue=WaitingQueue(options.queue),
        key_runs=KeyRunStore(options.maximum_ended_keys),
    )
