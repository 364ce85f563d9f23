"""Workers as the directory of the platform lists them."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.model import ResourceVector, WorkerId


class WorkerListing(Enum):
    """How the directory of the platform lists a worker.

    ``UNUSABLE``: the entry of the worker cannot be read.  The worker gets no new runs, and its
    present runs continue.  ``GONE``: the directory no longer lists the worker.
    """

    READY = "ready"
    DRAINING = "draining"
    UNUSABLE = "unusable"
    GONE = "gone"


class WorkerRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One incarnation of a worker, as the directory of the platform lists it.

    Attributes
    ----------
    remaining_ms : int
        The shortest time until a draining worker stops, in milliseconds.
    born_ms : int
        When the worker started, in milliseconds since 1970 by its own clock; 0 if the entry does
        not say.
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
    """Why a directory entry does not describe a usable worker."""

    UNREADABLE = "unreadable"
    UNKNOWN_STATE = "unknown_state"
    NO_SERVICE = "no_service"
    NO_ADDRESS = "no_address"
    OUT_OF_RANGE = "out_of_range"
    NO_START_TIME = "no_birth"


class UnusableEntry(msgspec.Struct, frozen=True):
    """A directory entry that describes no usable worker; another program may have written it."""

    worker_id: WorkerId
    fault: EntryFault
