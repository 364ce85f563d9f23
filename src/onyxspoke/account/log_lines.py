"""Parses log lines into fields, also where processes have written into each other's lines."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

#: Matches one field of a log line, ``key=value``.
_FIELD = re.compile(r"(\w+)=(\S+)")
#: Matches the start of a log line, also within another line.
_LINE_START = re.compile(r"(?=time=\d{4}-\d{2}-\d{2}T)")


@dataclass(slots=True)
class LogLine:
    """One log line: its time, its event and its fields.

    Attributes
    ----------
    timestamp : float
        Time at which the line was written, in seconds since 1970.
    """

    timestamp: float
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class LogReader:
    """Parses the combined logs of several processes.

    Attributes
    ----------
    truncated_lines : int
        Number of lines cut short by the start of another line.
    dropped_lines : int
        Number of lines that processes report to have dropped.
    """

    truncated_lines: int = 0
    dropped_lines: int = 0
    lines: list[LogLine] = field(default_factory=list)

    def read(self, texts: Iterable[str]) -> list[LogLine]:
        """Return all lines read so far, sorted by time."""
        for text in texts:
            for part, is_truncated in _split_lines(text):
                self._add_line(part, is_truncated)
        self.lines.sort(key=lambda line: line.timestamp)
        return self.lines

    def _add_line(self, text: str, is_truncated: bool) -> None:
        matches = _FIELD.findall(text)
        if is_truncated:
            self.truncated_lines += 1
            # The last value of a truncated line may be incomplete.
            matches = matches[:-1]
        fields = dict(matches)
        event = fields.get("event", "")
        if event == "log_lines_dropped":
            self.dropped_lines += int(fields.get("count", "0"))
        timestamp = _parse_timestamp(fields.get("time", ""))
        if timestamp is not None and event:
            self.lines.append(LogLine(timestamp, event, fields))


def _split_lines(text: str) -> Iterator[tuple[str, bool]]:
    """Split text at the starts of lines; yield each line and whether the next one truncates it."""
    parts = _LINE_START.split(text)
    for index, part in enumerate(parts):
        if part.startswith("time=") or "event=" in part:
            yield part, index < len(parts) - 1 and part.startswith("time=")


def _parse_timestamp(text: str) -> float | None:
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None
