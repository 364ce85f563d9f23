"""The command line's client of an entry's HTTP API."""

from __future__ import annotations

import urllib.error
import urllib.request
from typing import Any

import msgspec

from onyxspoke.core.codes import ExitCode

REQUEST_TIMEOUT_SECONDS = 120.0


class ApiError(Exception):
    """An entry's coded error, or no answer at all."""

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class ApiClient:
    """Calls one entry.

    Parameters
    ----------
    base : str
        ``http://ADDRESS:PORT`` of the entry or of the balancer.
    """

    def __init__(self, base: str) -> None:
        self._base = base.rstrip("/")

    def get(self, path: str) -> Any:
        """Return the decoded JSON at a path."""
        return self._call("GET", path, None, "")

    def post(self, path: str, body: Any, idempotency_key: str = "") -> Any:
        """Post a JSON body and return the decoded answer."""
        return self._call("POST", path, msgspec.json.encode(body), idempotency_key)

    def delete(self, path: str) -> Any:
        """Delete what is at a path and return the decoded answer."""
        return self._call("DELETE", path, None, "")

    def _call(self, method: str, path: str, body: bytes | None, idempotency_key: str) -> Any:
        request = urllib.request.Request(f"{self._base}{path}", data=body, method=method)
        request.add_header("Content-Type", "application/json")
        if idempotency_key:
            request.add_header("Idempotency-Key", idempotency_key)
        try:
            with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_SECONDS) as response:
                return msgspec.json.decode(response.read())
        except urllib.error.HTTPError as error:
            raise ApiError(ExitCode.FAILED, error.read().decode("utf-8", "replace")) from error
        except (urllib.error.URLError, OSError) as error:
            raise ApiError(ExitCode.UNREACHABLE, f"{self._base}: {error}") from error
