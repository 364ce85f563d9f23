"""Log lines as pairs, also where the output of several processes meets within one line."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

_PAIR = re.compile(r"(\w+)=(\S+)")
#: Where a line of ours begins, also amid another one.
_HEAD = re.compile(r"(?=time=\d{4}-\d{2}-\d{2}T)")


@dataclass(slots=True)
class LogLine:
    """One line: when it was written, its event, and its pairs.

    Attributes
    ----------
    moment : float
        Seconds since 1970.
    """

    moment: float
    event: str
    pairs: dict[str, str]


@dataclass(slots=True)
class LogReader:
    """Takes text of several processes' logs apart.

    Attributes
    ----------
    broken : int
        Lines that another one cut short.
    dropped : int
        Lines that processes say they left out.
    """

    broken: int = 0
    dropped: int = 0
    lines: list[LogLine] = field(default_factory=list)

    def read(self, texts: Iterable[str]) -> list[LogLine]:
        """Return the lines by their times."""
        for text in texts:
            for part, is_cut in _parts(text):
                self._take(part, is_cut)
        self.lines.sort(key=lambda line: line.moment)
        return self.lines

    def _take(self, text: str, is_cut: bool) -> None:
        found = _PAIR.findall(text)
        if is_cut:
            self.broken += 1
            # Its last value may have been cut short.
            found = found[:-1]
        pairs = dict(found)
        event = pairs.get("event", "")
        if event == "log_lines_dropped":
            self.dropped += int(pairs.get("count", "0"))
        moment = _moment(pairs.get("time", ""))
        if moment is not None and event:
            self.lines.append(LogLine(moment, event, pairs))


def _parts(text: str) -> Iterator[tuple[str, bool]]:
    """Split a text where lines begin; each part with whether the next one cuts it short."""
    parts = _HEAD.split(text)
    for number, part in enumerate(parts):
        if part.startswith("time=") or "event=" in part:
            yield part, number < len(parts) - 1 and part.startswith("time=")


def _moment(text: str) -> float | None:
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None
