"""Reconstruct the trace of one request from the logs of all hosts."""

import re
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

#: Events that report a host's state; the latest of each is shown once, before the
#: host's first line about the request.
STATE_EVENTS = (
    "config.applied",
    "peers.changed",
    "coordinators.changed",
    "readers.changed",
    "freshness.changed",
    "store.lost",
    "store.regained",
    "store.restored",
    "version.superseded",
)
#: Events of all hosts that tell why a request is refused for a part of its prompt.
PART_EVENTS = ("part.suspected", "part.held", "part.cleared")
#: A run under which its server ended, by the request's digest and its prompt's parts.
END_EVENT, ENDED = "dispatch.broken", "ended"
#: Ends that are shown for a request that is refused for them.
MAX_SHOWN_ENDS = 16
#: Events that tell which limits a host knew of when it refused a request for them.
LIMIT_EVENTS = ("server.limited", "server.limit_ended")
LIMIT_REASON = "server_limit"
#: Fields that name a line's server; a second run has two, of either run.
SERVER_FIELDS = ("server", "first", "second")
_COMMON_FIELDS = frozenset(
    {"event", "level", "timestamp", "host", "request_id", "attempt"}
)
_JSON_OBJECT = re.compile(r"\{.*\}\s*$")

Line = dict[str, Any]


class Step(msgspec.Struct, frozen=True):
    """Represent one line of a trace; `context` lines report a host's earlier state."""

    time: str
    host: str
    event: str
    fields: dict[str, Any]
    context: bool = False

    def text(self) -> str:
        """Return the step as one line of text."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        mark = "state " if self.context else ""
        return f"{self.time}  {self.host:<20} {mark}{self.event} {shown}".rstrip()


def read_lines(paths: Iterable[Path]) -> Iterator[Line]:
    """Yield the JSON log lines of files, without any prefix before the JSON."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                found = _JSON_OBJECT.search(text)
                if found is None:
                    continue
                try:
                    line = msgspec.json.decode(found[0])
                except msgspec.DecodeError:
                    continue
                if isinstance(line, dict) and "event" in line:
                    yield line


class _LatestLines:
    """Keep the latest lines about hosts, servers, limits and what ended servers."""

    def __init__(self) -> None:
        self._lines: dict[tuple[str, str, str], Line] = {}
        self._ends: defaultdict[str, deque[Line]] = defaultdict(
            lambda: deque(maxlen=MAX_SHOWN_ENDS)
        )

    def record(self, line: Line) -> None:
        """Keep a line that tells what a host knew."""
        host, event = str(line.get("host", "")), str(line["event"])
        server = str(line.get("server", ""))
        if event == END_EVENT and line.get("process") == ENDED:
            for subject in {line.get("digest"), *line.get("parts", ())}:
                self._ends[str(subject)].append(line)
        elif event in STATE_EVENTS:
            self._lines[host, event, str(line.get("kind", ""))] = line
        elif event in PART_EVENTS:
            self._lines["", event, str(line.get("part", ""))] = line
        elif event in LIMIT_EVENTS:
            self._lines[host, "limit", server] = line
        elif event.startswith("server."):
            self._lines[host, "server", server] = line

    def of_host(self, host: str) -> list[Line]:
        """Return the state of a host."""
        return [
            line
            for (item_host, event, _), line in self._lines.items()
            if item_host == host and event in STATE_EVENTS
        ]

    def about(self, line: Line) -> list[Line]:
        """Return what was known of the server, limits or subject that a line names."""
        host = str(line.get("host", ""))
        refused = line.get("reason") == LIMIT_REASON
        servers = {line.get(key) for key in SERVER_FIELDS}
        ends = list(self._ends.get(str(line.get("part")), ()))
        return ends + [
            known
            for (item_host, kind, name), known in self._lines.items()
            if (kind in PART_EVENTS and name == line.get("part"))
            or (
                item_host == host
                and kind in ("server", "limit")
                and (name in servers or (refused and kind == "limit"))
            )
        ]


def build_trace(lines: Iterable[Line], request: str) -> list[Step]:
    """Return a request's lines in time order, with the state of its hosts."""
    ordered = sorted(lines, key=lambda line: str(line.get("timestamp", "")))
    latest = _LatestLines()
    seen_hosts: set[str] = set()
    steps: list[Step] = []
    for line in ordered:
        if request not in (line.get("request_id"), line.get("attempt")):
            latest.record(line)
            continue
        host = str(line.get("host", ""))
        if host not in seen_hosts:
            seen_hosts.add(host)
            steps += [_step(item, context=True) for item in latest.of_host(host)]
        steps.append(_step(line))
        steps += [_step(item, context=True) for item in latest.about(line)]
    return steps


def _step(line: Line, *, context: bool = False) -> Step:
    return Step(
        time=str(line.get("timestamp", "")),
        host=str(line.get("host", "")),
        event=str(line["event"]),
        fields={k: v for k, v in line.items() if k not in _COMMON_FIELDS},
        context=context,
    )
