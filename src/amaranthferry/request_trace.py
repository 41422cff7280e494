"""Reconstruct the trace of one request from the logs of all hosts."""

import re
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


def build_trace(lines: Iterable[Line], request: str) -> list[Step]:
    """Return a request's lines in time order, with the state of its hosts."""
    ordered = sorted(lines, key=lambda line: str(line.get("timestamp", "")))
    latest: dict[tuple[str, str, str], Line] = {}
    seen_hosts: set[str] = set()
    steps: list[Step] = []
    for line in ordered:
        host = str(line.get("host", ""))
        if request in (line.get("request_id"), line.get("attempt")):
            if host not in seen_hosts:
                seen_hosts.add(host)
                states = [
                    item
                    for (item_host, event, _), item in latest.items()
                    if item_host == host and event in STATE_EVENTS
                ]
                steps += [_step(item, context=True) for item in states]
            steps.append(_step(line))
            server = latest.get((host, "server", str(line.get("server", ""))))
            if server is not None and "server" in line:
                steps.append(_step(server, context=True))
            steps += [
                _step(item, context=True)
                for (_, event, part), item in latest.items()
                if event in PART_EVENTS and part == line.get("part")
            ]
        elif line["event"] in STATE_EVENTS:
            latest[host, str(line["event"]), str(line.get("kind", ""))] = line
        elif line["event"] in PART_EVENTS:
            latest["", str(line["event"]), str(line.get("part", ""))] = line
        elif str(line["event"]).startswith("server."):
            latest[host, "server", str(line.get("server", ""))] = line
    return steps


def _step(line: Line, *, context: bool = False) -> Step:
    return Step(
        time=str(line.get("timestamp", "")),
        host=str(line.get("host", "")),
        event=str(line["event"]),
        fields={k: v for k, v in line.items() if k not in _COMMON_FIELDS},
        context=context,
    )
