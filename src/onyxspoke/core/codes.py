"""Numbered result codes and the exceptions that carry them.

The table in ``docs/CODES.md`` is checked against this module by a test.
"""

from __future__ import annotations

from enum import Enum, IntEnum


class OutcomeKind(Enum):
    """Outcome of a request, as reported to its caller."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Numbered result codes, grouped by hundreds.

    1xx: success. 2xx: the input was refused and not run. 3xx: not run; retry later.
    4xx: the outcome is unknown. 5xx: settings. 6xx: infrastructure.
    """

    OK = 100
    ACCEPTED = 101

    MALFORMED_REQUEST = 200
    BODY_TOO_LARGE = 201
    UNKNOWN_TASK_CLASS = 202
    UNKNOWN_TENANT = 203
    NO_SUCH_JOB = 204
    NO_SUCH_PATH = 205
    METHOD_NOT_ALLOWED = 206
    DEADLINE_OUT_OF_RANGE = 207
    NO_SUCH_WORKER = 208
    KEY_REUSED = 209
    NEVER_FITS = 210
    REQUEST_TIMEOUT = 211
    NO_SUCH_QUEUE = 212
    MISSING_KEY = 213
    UNKNOWN_KEY = 214

    NO_CAPACITY = 300
    QUEUE_FULL = 301
    DEADLINE_EXPIRED = 302
    ENTRY_STOPPING = 303
    LOG_UNAVAILABLE = 304
    CANCELLED = 305
    STALE_EPOCH = 306
    WORKER_FULL = 307
    QUOTA_EXCEEDED = 308
    TOO_MANY_CONNECTIONS = 309
    PEER_UNREACHABLE = 310
    WORKER_LEAVING = 311
    NO_HOLDER = 312
    KEYS_UNPROVEN = 313
    TOO_MUCH_WAITS = 314

    WORKER_LOST = 400
    PEER_LOST = 401
    ANSWER_OVERDUE = 402
    LOG_ANSWER_LOST = 403
    KEY_HOLDER_UNREACHABLE = 404
    TASK_FAILED = 405
    KEY_STATE_UNKNOWN = 406
    HOLDER_UNKNOWN = 407
    TASK_CRASHES_WORKERS = 408

    SETTING_CONFLICT = 500
    SETTING_INVALID = 501
    SETTINGS_FILE_INVALID = 502

    PROTOCOL_ERROR = 600
    FRAME_TOO_LARGE = 601
    INTERNAL_ERROR = 602
    STEP_OVERLOOKED = 603
    ENTRY_UNUSABLE = 604


CODE_DESCRIPTIONS: dict[ResultCode, str] = {
    ResultCode.OK: "The task ran to its end; the whole answer is included.",
    ResultCode.ACCEPTED: "The job is recorded in the log and will be run.",
    ResultCode.MALFORMED_REQUEST: "The body is not a valid request; the message names the field.",
    ResultCode.BODY_TOO_LARGE: "The body exceeds the entry's limit.",
    ResultCode.UNKNOWN_TASK_CLASS: "The service or task class is not in the catalog.",
    ResultCode.UNKNOWN_TENANT: "The tenant is not in the catalog.",
    ResultCode.NO_SUCH_JOB: "No job of that identifier is known; it may have been forgotten.",
    ResultCode.NO_SUCH_PATH: "The HTTP path names no resource.",
    ResultCode.METHOD_NOT_ALLOWED: "The resource does not take this HTTP method.",
    ResultCode.DEADLINE_OUT_OF_RANGE: "The deadline is not positive or exceeds the limit.",
    ResultCode.NO_SUCH_WORKER: "The worker is not in the machine list.",
    ResultCode.KEY_REUSED: "The idempotency key was used before with a different request.",
    ResultCode.NEVER_FITS: "No worker of the cell could ever hold a task of this size.",
    ResultCode.REQUEST_TIMEOUT: "The request was not received completely in time.",
    ResultCode.NO_SUCH_QUEUE: "The queue is not in the configuration.",
    ResultCode.MISSING_KEY: "The queue wants a key, and none that can be read came with the call.",
    ResultCode.UNKNOWN_KEY: "No tenant of the newest configuration has this key.",
    ResultCode.NO_CAPACITY: "No worker has room now.",
    ResultCode.QUEUE_FULL: "The waiting queue is at its bound.",
    ResultCode.DEADLINE_EXPIRED: "The deadline passed, or cannot be met, before a worker was free.",
    ResultCode.ENTRY_STOPPING: "The entry is stopping and takes no new work.",
    ResultCode.LOG_UNAVAILABLE: "The log cannot take the record that must precede the run.",
    ResultCode.CANCELLED: "The caller cancelled before a worker was asked to start.",
    ResultCode.STALE_EPOCH: "A worker refused a command of a superseded owner.",
    ResultCode.WORKER_FULL: "A worker refused the task because it has no room.",
    ResultCode.QUOTA_EXCEEDED: "The tenant's quota is used up.",
    ResultCode.TOO_MANY_CONNECTIONS: "The worker or entry has no connection left.",
    ResultCode.PEER_UNREACHABLE: "The peer could not be reached before anything was sent.",
    ResultCode.WORKER_LEAVING: "The worker is leaving and takes no new work.",
    ResultCode.NO_HOLDER: "No node can take the job now; it was not taken and never runs.",
    ResultCode.KEYS_UNPROVEN: (
        "The configuration here may be too old to tell whose the key is; the call did nothing."
    ),
    ResultCode.TOO_MUCH_WAITS: (
        "What waits ahead of the job would end too late for its caller; it was not taken and never "
        "runs."
    ),
    ResultCode.WORKER_LOST: "The worker was lost after the task was sent to it.",
    ResultCode.PEER_LOST: "The peer entry was lost after the request was forwarded.",
    ResultCode.ANSWER_OVERDUE: "The task was sent; no answer came within the grace period.",
    ResultCode.LOG_ANSWER_LOST: "The record was sent to the log; its fate was not learned in time.",
    ResultCode.KEY_HOLDER_UNREACHABLE: "Another entry holds the key and cannot be asked.",
    ResultCode.TASK_FAILED: "The worker reports that the task started and failed.",
    ResultCode.KEY_STATE_UNKNOWN: (
        "The log is away, so it cannot be told whether the key has run; ask again."
    ),
    ResultCode.HOLDER_UNKNOWN: "The call may have reached a holder; ask again.",
    ResultCode.TASK_CRASHES_WORKERS: (
        "Workers went down under a task again and again; its job was given up, and is failed."
    ),
    ResultCode.SETTING_CONFLICT: "Another change was accepted first; the winning value is given.",
    ResultCode.SETTING_INVALID: "The setting's key or value is not allowed by the schema.",
    ResultCode.SETTINGS_FILE_INVALID: "The settings file has faults; each one is listed.",
    ResultCode.PROTOCOL_ERROR: "A message stream carried something that is not a message.",
    ResultCode.FRAME_TOO_LARGE: "A message exceeds the stream's bound.",
    ResultCode.INTERNAL_ERROR: "A fault in onyxspoke itself; please report it.",
    ResultCode.STEP_OVERLOOKED: (
        "Only the holder's sweep of waiting steps found that a step could start; it starts now."
    ),
    ResultCode.ENTRY_UNUSABLE: "An entry of the directory names no worker to use; see its fault.",
}

_HTTP_STATUS_BY_CODE: dict[ResultCode, int] = {
    ResultCode.OK: 200,
    ResultCode.ACCEPTED: 202,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.NO_SUCH_JOB: 404,
    ResultCode.NO_SUCH_PATH: 404,
    ResultCode.NO_SUCH_QUEUE: 404,
    ResultCode.NO_SUCH_WORKER: 404,
    ResultCode.MISSING_KEY: 401,
    ResultCode.UNKNOWN_KEY: 401,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.REQUEST_TIMEOUT: 408,
    ResultCode.KEY_REUSED: 422,
    ResultCode.QUEUE_FULL: 429,
    ResultCode.QUOTA_EXCEEDED: 429,
    ResultCode.TOO_MUCH_WAITS: 429,
    ResultCode.SETTING_CONFLICT: 409,
    ResultCode.SETTING_INVALID: 400,
    ResultCode.INTERNAL_ERROR: 500,
}

_REFUSED_INPUT_HUNDREDS = 2
_NOT_RUN_HUNDREDS = 3
_UNKNOWN_HUNDREDS = 4


def http_status(code: ResultCode) -> int:
    """Return the HTTP status for a result code."""
    status = _HTTP_STATUS_BY_CODE.get(code)
    if status is not None:
        return status
    hundreds = code // 100
    if hundreds == _REFUSED_INPUT_HUNDREDS:
        return 400
    if hundreds == _NOT_RUN_HUNDREDS:
        return 503
    return 502


def outcome_of(code: ResultCode) -> OutcomeKind:
    """Return the outcome that a result code belongs to.

    A code that neither means success nor guarantees that the request did not run has the
    outcome ``UNKNOWN``.
    """
    if code in (ResultCode.OK, ResultCode.ACCEPTED):
        return OutcomeKind.COMPLETED
    if code // 100 in (_REFUSED_INPUT_HUNDREDS, _NOT_RUN_HUNDREDS):
        return OutcomeKind.NOT_RUN
    return OutcomeKind.UNKNOWN


class ExitCode(IntEnum):
    """Exit codes of the programs, by kind of failure."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS_INVALID = 3
    CANNOT_LISTEN = 4
    UNREACHABLE = 5
    AUDIT_VIOLATION = 6
    STATE_LOST = 7


class OnyxspokeError(Exception):
    """Base class of all errors that onyxspoke raises.

    Parameters
    ----------
    code : ResultCode
        The numbered result code.
    message : str
        Details for a human reader; programs should use only the code.
    """

    def __init__(self, code: ResultCode, message: str = "") -> None:
        super().__init__(f"{code.name} ({int(code)}): {message or CODE_DESCRIPTIONS[code]}")
        self.code = code
        self.message = message or CODE_DESCRIPTIONS[code]


class RequestRefusedError(OnyxspokeError):
    """A request that was refused and did not run."""


class SettingRefusedError(OnyxspokeError):
    """A settings change that violates the schema or conflicts with another change."""


class StreamError(OnyxspokeError):
    """A message stream that violates its protocol."""
