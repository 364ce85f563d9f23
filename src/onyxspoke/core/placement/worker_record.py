"""Workers as the platform's directory lists them."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.model import ResourceVector, WorkerId


class WorkerListing(Enum):
    """What the platform's directory says of a worker.

    ``UNUSABLE``: its entry cannot be read as a worker's; it gets nothing new, and what runs there
    goes on.
    """

    READY = "ready"
    DRAINING = "draining"
    UNUSABLE = "unusable"
    GONE = "gone"


class WorkerRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One life of a worker, as the platform's directory lists it.

    Attributes
    ----------
    remaining_ms : int
        Time that a draining worker has left at least.
    born_ms : int
        When the worker started, counted from 1970 on its own clock; 0 where it does not say.
    """

    worker_id: WorkerId
    host: str
    port: int
    service: str
    zone: str
    capacity: ResourceVector
    kind: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    listing: WorkerListing = WorkerListing.READY
    remaining_ms: int = 0
    machine: str = ""
    born_ms: int = 0


class EntryFault(Enum):
    """Why an entry of the directory names no worker to use."""

    UNREADABLE = "unreadable"
    UNKNOWN_STATE = "unknown_state"
    NO_SERVICE = "no_service"
    NO_ADDRESS = "no_address"
    OUT_OF_RANGE = "out_of_range"
    NO_START_TIME = "no_birth"


class UnusableEntry(msgspec.Struct, frozen=True):
    """An entry of the directory that names no worker to use; another writer may have left it."""

    worker_id: WorkerId
    fault: EntryFault
