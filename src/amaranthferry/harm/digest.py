"""Identify requests that are the same to a server."""

import xxhash

from ..types import RequestDigest, WorkspaceId


def digest_request(
    *,
    method: str,
    host: str,
    target: str,
    prompt: str,
    workspace: WorkspaceId,
    body: bytes,
    key: str,
) -> RequestDigest:
    """Return a digest that is equal for equal requests of one workspace.

    `prompt` names the model and the parts of the prompt, if there is one. Hosts with the same key agree on it. The digest never is 0, which stands for an
    unknown one.
    """
    digest = xxhash.xxh3_64(seed=xxhash.xxh3_64_intdigest(key.encode()))
    # The length of the head keeps head and body apart.
    head = "\n".join((method, host.lower(), target, prompt, workspace)).encode()
    digest.update(len(head).to_bytes(4))
    digest.update(head)
    digest.update(body)
    return RequestDigest(digest.intdigest() or 1)
