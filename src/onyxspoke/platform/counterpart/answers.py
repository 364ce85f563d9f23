"""Answers of the platform's services."""

from __future__ import annotations

from typing import NamedTuple

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_MOVED = 412
HTTP_OTHER_LIFE = 421
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


class Answer(NamedTuple):
    """What is answered: a value that is sent as JSON, and the status."""

    value: object
    status: int = HTTP_OK
