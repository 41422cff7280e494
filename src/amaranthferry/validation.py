"""Check the references and constraints between the sections of a deployment."""

from collections import defaultdict
from collections.abc import Iterator

from .exceptions import SettingsError
from .sections import Section
from .types import PoolKind

# Keys of each section kind whose values name sections of another kind.
_REFERENCES = {
    "workspace": {"tier": "tier", "classes": "class", "default_class": "class"},
    "server": {"pool": "pool"},
    "service": {"pool": "pool", "work_class": "class", "write_class": "class"},
}
_DEFAULT_TIMEOUT_SECONDS = 30.0
_DEFAULT_MAX_TIMEOUT_SECONDS = 43_200.0


def check_references(sections: list[Section]) -> list[SettingsError]:
    """Return an error for each broken reference or constraint."""
    by_kind: dict[str, dict[str, Section]] = defaultdict(dict)
    for section in sections:
        by_kind[section.kind][section.name] = section
    return [
        *_check_names(by_kind),
        *_check_tier_ranks(by_kind),
        *_check_classes(by_kind),
        *_check_workspaces(by_kind),
        *_check_key_hashes(by_kind),
        *_check_pools(by_kind),
        *_check_addresses(by_kind),
    ]


_ByKind = dict[str, dict[str, Section]]


def _check_names(by_kind: _ByKind) -> Iterator[SettingsError]:
    for kind, references in _REFERENCES.items():
        for section in by_kind[kind].values():
            for key, target in references.items():
                yield from _check_reference(section, key, target, by_kind[target])


def _check_reference(
    section: Section, key: str, target: str, known: dict[str, Section]
) -> Iterator[SettingsError]:
    for name in _names(section, key):
        if name not in known:
            listed = ", ".join(sorted(known)[:10]) or "none yet"
            yield section.error(
                key,
                f"{key} names {target} {name!r}, which doesn't exist.",
                remedy=f"Add [{target} {name}] or use a known one: {listed}.",
            )


def _names(section: Section, key: str) -> tuple[str, ...]:
    value = section.values.get(key, ())
    return (value,) if isinstance(value, str) else value  # type: ignore[return-value]


def _check_tier_ranks(by_kind: _ByKind) -> Iterator[SettingsError]:
    first: dict[object, Section] = {}
    for section in by_kind["tier"].values():
        rank = section.values.get("rank")
        if rank is None:
            continue
        other = first.setdefault(rank, section)
        if other is not section:
            yield section.error(
                "rank",
                f"has the same rank as [{other.title}].",
                remedy="Give each tier its own rank; 0 is the most urgent.",
            )


def _check_classes(by_kind: _ByKind) -> Iterator[SettingsError]:
    for section in by_kind["class"].values():
        default = section.values.get("default_timeout", _DEFAULT_TIMEOUT_SECONDS)
        longest = section.values.get("max_timeout", _DEFAULT_MAX_TIMEOUT_SECONDS)
        if default > longest:  # type: ignore[operator]
            yield section.error(
                "default_timeout",
                "default_timeout is above max_timeout.",
                remedy="Raise max_timeout or lower default_timeout.",
            )


def _check_workspaces(by_kind: _ByKind) -> Iterator[SettingsError]:
    for section in by_kind["workspace"].values():
        classes = section.values.get("classes")
        default = section.values.get("default_class")
        if classes is None or default is None or default in _names(section, "classes"):
            continue
        yield section.error(
            "default_class",
            f"default_class {default!r} is not among its classes.",
            remedy="Add it to classes or choose one of them.",
        )


def _check_key_hashes(by_kind: _ByKind) -> Iterator[SettingsError]:
    owners: dict[str, Section] = {}
    sections = [*by_kind["operators"].values(), *by_kind["workspace"].values()]
    for section in sections:
        for digest in _names(section, "key_hashes"):
            owner = owners.setdefault(digest, section)
            if owner is not section:
                yield section.error(
                    "key_hashes",
                    f"shares the key hash {digest[:8]}... with [{owner.title}].",
                    remedy="Create a separate key for each.",
                )


def _check_pools(by_kind: _ByKind) -> Iterator[SettingsError]:
    pools = by_kind["pool"]
    for section in by_kind["service"].values():
        pool = pools.get(str(section.values.get("pool")))
        if pool and pool.values.get("kind", PoolKind.ENGINE) is not PoolKind.SERVICE:
            yield section.error(
                "pool",
                f"pool {pool.name!r} is a pool of model engines.",
                remedy=f"Write 'kind = service' in [{pool.title}] or name another.",
            )
    for section in by_kind["server"].values():
        pool = pools.get(str(section.values.get("pool")))
        if pool:
            yield from _check_models(section, pool)


def _check_models(section: Section, pool: Section) -> Iterator[SettingsError]:
    offered = _names(pool, "models")
    for model in _names(section, "models"):
        if model not in offered:
            yield section.error(
                "models",
                f"model {model!r} is not offered by [{pool.title}].",
                remedy=f"Add it to models of [{pool.title}] or remove it here.",
            )


def _check_addresses(by_kind: _ByKind) -> Iterator[SettingsError]:
    owners: dict[object, Section] = {}
    for section in by_kind["server"].values():
        address = section.values.get("address")
        if address is None:
            continue
        owner = owners.setdefault(address, section)
        if owner is not section:
            yield section.error(
                "address",
                f"has the same address as [{owner.title}].",
                remedy="Give each backend server its own address.",
            )
