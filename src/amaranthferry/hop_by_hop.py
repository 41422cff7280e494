"""Tell the headers that concern only one connection from those that are relayed."""

from collections.abc import Iterable

#: Headers of a request that end at this host, beside what `Connection` names.
REQUEST_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
#: The same of an answer, whose length is relayed.
ANSWER_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "trailer", "upgrade"}
)


def answer_headers(received: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of a server's answer that are relayed to the caller."""
    dropped = ANSWER_HEADERS | connection_options(received)
    return [pair for pair in received if pair[0] not in dropped]


def connection_options(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Return the headers that `Connection` says concern only this connection."""
    return {
        name.strip().lower()
        for key, value in headers
        if key == "connection"
        for name in value.split(",")
    }
