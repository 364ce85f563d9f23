"""The platform's store over HTTP: partitions of shards, and records under keys."""

from __future__ import annotations

import base64
from collections.abc import Callable
from urllib.parse import quote

import msgspec

from onyxspoke.core.shard.log_records import (
    AppendOutcome,
    AppendResult,
    LatestRecordsPage,
    ShardAppend,
    ShardId,
    ShardRecord,
)
from onyxspoke.net.http_client import HttpAnswer, HttpClient, encode_request
from onyxspoke.node.settings import Address
from onyxspoke.platform.unreadable import UNREADABLE_ERRORS

#: Topic of the shards' partitions; its prefix makes the store keep the newest of each key.
SHARD_TOPIC = "keyed.onyxspoke"
OPERATOR_TOPIC = "keyed.op"
WORKER_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"

STATUS_SECONDS = 0.5
READ_SECONDS = 0.8
#: Added to the time that a read may wait for a record.
WAIT_SLACK_SECONDS = 0.6

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_HTTP_OK = 200
_HTTP_CONFLICT = 409
_HTTP_GONE = 410
_HTTP_MOVED = 412
_HTTP_TOO_MANY = 429
_HTTP_UNAVAILABLE = 503
_HTTP_FULL = 507
_MILLISECONDS = 1_000.0
_REFUSED = frozenset({_HTTP_TOO_MANY, _HTTP_UNAVAILABLE, _HTTP_FULL})


class _AppendAnswer(msgspec.Struct):
    offset: int = -1
    end: int = -1
    reason: str = ""


class _NewestItem(msgspec.Struct, rename={"key": "privateKey"}):
    key: str
    value: str = ""
    offset: int = -1


class _NewestAnswer(msgspec.Struct):
    items: list[_NewestItem]
    more: bool = False
    end: int = -1


class TailAnswer(msgspec.Struct, frozen=True):
    """Records read from an offset on.

    ``is_known`` is false where the store gave no answer; ``is_gone`` says that the records
    are no longer kept, so that the newest ones are to be read instead.
    """

    is_known: bool
    is_gone: bool = False
    end: int = -1
    records: list[ShardRecord] = []


_append_decoder = msgspec.json.Decoder(_AppendAnswer)
_newest_decoder = msgspec.json.Decoder(_NewestAnswer)


class StoreClient:
    """Calls to the store; implements ``ShardLogPort``."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address
        self._host = f"{address.host}:{address.port}"

    def append(
        self,
        append: ShardAppend,
        patience_seconds: float,
        on_result: Callable[[AppendResult], None],
    ) -> None:
        """Append records to a shard's partition."""
        query = (
            f"topic={SHARD_TOPIC}&part={append.shard}&producer=shard-{append.shard}"
            f"&epoch={append.epoch}&sequence={append.sequence}"
        )
        if append.expected_end >= 0:
            query += f"&at={append.expected_end}"
        body = b"".join(encode_keyed_record(record) for record in append.records)
        request = encode_request("POST", f"/onyxspoke/log-append?{query}", self._host, body)
        self._call(request, patience_seconds, lambda answer: on_result(read_append(answer)), "w")

    def read_newest(
        self, shard: ShardId, after_key: str, on_page: Callable[[LatestRecordsPage], None]
    ) -> None:
        """Read the newest records of a shard's keys behind one."""
        self.read_newest_of(SHARD_TOPIC, shard, after_key, on_page)

    def read_newest_of(
        self, topic: str, part: int, after_key: str, on_page: Callable[[LatestRecordsPage], None]
    ) -> None:
        """Read the newest records of a topic's keys behind one."""
        target = f"/onyxspoke/log-newest?topic={topic}&part={part}"
        if after_key:
            target += f"&dependsOn={quote(after_key, safe='')}"
        request = encode_request("GET", target, self._host)
        self._call(request, READ_SECONDS, lambda answer: on_page(read_page(answer)), "r")

    def read_tail(
        self,
        topic: str,
        offset: int,
        wait_ms: int,
        on_answer: Callable[[TailAnswer], None],
        lane: str = "",
    ) -> None:
        """Read the records of a topic's only partition from an offset on.

        Calls of one ``lane``, by default that of the topic, wait for each other.
        """
        target = f"/onyxspoke/log-read?topic={topic}&part=0&from={offset}&waitMs={wait_ms}"
        request = encode_request("GET", target, self._host)
        timeout = wait_ms / _MILLISECONDS + WAIT_SLACK_SECONDS
        self._call(request, timeout, lambda answer: on_answer(read_tail(answer)), lane or topic)

    def put_status(self, name: str, value: bytes, on_result: Callable[[bool], None]) -> None:
        """Write the newest record under a name that the operator reads."""
        body = encode_keyed_record(ShardRecord(name, value))
        target = f"/onyxspoke/log-append?topic={STATUS_TOPIC}&part=0"
        request = encode_request("POST", target, self._host, body)
        self._call(
            request, STATUS_SECONDS, lambda answer: on_result(answer.status == _HTTP_OK), "w"
        )

    def _call(
        self, request: bytes, timeout: float, on_answer: Callable[[HttpAnswer], None], lane: str
    ) -> None:
        address = self._address
        self._client.call(address.host, address.port, request, timeout, on_answer, lane)


def encode_keyed_record(record: ShardRecord) -> bytes:
    """Return a record of a keyed topic: length, length of the key, key, value."""
    key = record.key.encode()
    length = 1 + len(key) + len(record.value)
    return length.to_bytes(_LENGTH_BYTES, "big") + bytes([len(key)]) + key + record.value


def decode_keyed_records(data: bytes) -> list[ShardRecord]:
    """Return the records of a keyed topic."""
    records = []
    position = 0
    while position + _LENGTH_BYTES <= len(data):
        length = int.from_bytes(data[position : position + _LENGTH_BYTES], "big")
        position += _LENGTH_BYTES
        record = data[position : position + length]
        position += length
        key_length = record[0] if record else 0
        key = record[1 : 1 + key_length].decode("utf-8", "replace")
        records.append(ShardRecord(key, record[1 + key_length :]))
    return records


def read_append(answer: HttpAnswer) -> AppendResult:
    """Return what an answer to an append says."""
    if answer.status == 0:
        outcome = AppendOutcome.UNKNOWN if answer.was_sent else AppendOutcome.NOT_DONE
        return AppendResult(outcome)
    if answer.status in _REFUSED:
        return AppendResult(AppendOutcome.NOT_DONE)
    try:
        body = _append_decoder.decode(answer.body or b"{}")
    except UNREADABLE_ERRORS:
        return AppendResult(AppendOutcome.UNKNOWN)
    if answer.status == _HTTP_OK:
        return AppendResult(AppendOutcome.DONE, body.offset, body.end)
    if answer.status == _HTTP_MOVED:
        return AppendResult(AppendOutcome.END_MOVED, end=body.end)
    if answer.status == _HTTP_CONFLICT:
        is_fenced = body.reason == "fenced"
        outcome = AppendOutcome.FENCED if is_fenced else AppendOutcome.OUT_OF_SEQUENCE
        return AppendResult(outcome)
    return AppendResult(AppendOutcome.INVALID)


def read_page(answer: HttpAnswer) -> LatestRecordsPage:
    """Return the newest records in an answer."""
    if answer.status != _HTTP_OK:
        return LatestRecordsPage(is_known=False)
    try:
        body = _newest_decoder.decode(answer.body)
    except UNREADABLE_ERRORS:
        return LatestRecordsPage(is_known=False)
    records = [ShardRecord(item.key, _read_value(item.value)) for item in body.items]
    return LatestRecordsPage(is_known=True, records=records, has_more=body.more, end=body.end)


def _read_value(text: str) -> bytes:
    """Return a record's value; what is no base64 stays as it is, for its own decoder to name."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return text.encode("utf-8", "replace")


def read_tail(answer: HttpAnswer) -> TailAnswer:
    """Return the records in an answer to a read from an offset on."""
    if answer.status == _HTTP_GONE:
        return TailAnswer(is_known=True, is_gone=True)
    if answer.status != _HTTP_OK or len(answer.body) < 2 * _OFFSET_BYTES:
        return TailAnswer(is_known=False)
    end = int.from_bytes(answer.body[:_OFFSET_BYTES], "big")
    records = decode_keyed_records(answer.body[2 * _OFFSET_BYTES :])
    return TailAnswer(is_known=True, end=end, records=records)
