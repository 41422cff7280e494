"""Define the sections and keys of settings files, and the units of their values."""

import msgspec

from . import units
from .config import (
    BackendServer,
    HostConfig,
    Limits,
    Pool,
    Service,
    Tier,
    WorkClass,
    Workspace,
)
from .units import Unit


class Key(msgspec.Struct, frozen=True):
    """Describe one key: its unit, and whether it is required."""

    unit: Unit
    required: bool = False


class SectionSchema(msgspec.Struct, frozen=True):
    """Describe one kind of section and the struct it compiles to."""

    struct: type | None
    keys: dict[str, Key]
    named: bool = True


DEPLOYMENT = SectionSchema(None, {"name": Key(units.NAME)}, named=False)
TIER = SectionSchema(Tier, {"rank": Key(units.COUNT, required=True)})
CLASS = SectionSchema(
    WorkClass,
    {
        "rank": Key(units.COUNT),
        "default_timeout": Key(units.DURATION),
        "max_timeout": Key(units.DURATION),
        "bulk": Key(units.FLAG),
        "may_be_refused": Key(units.FLAG),
        "never_repeated": Key(units.FLAG),
        "require_key": Key(units.FLAG),
        "cancel_when_caller_gone": Key(units.FLAG),
        "store_outage": Key(units.STORE_OUTAGE),
        "expected_output_tokens": Key(units.POSITIVE_COUNT),
    },
)
WORKSPACE = SectionSchema(
    Workspace,
    {
        "tier": Key(units.NAME, required=True),
        "classes": Key(units.NAMES, required=True),
        "default_class": Key(units.NAME, required=True),
        "key_hashes": Key(units.DIGESTS),
        "weight": Key(units.POSITIVE),
    },
)
POOL = SectionSchema(
    Pool,
    {
        "kind": Key(units.POOL_KIND),
        "models": Key(units.LABELS),
        "queue_limit": Key(units.POSITIVE_COUNT),
        "bulk_share": Key(units.RATIO),
        "servers_per_shard": Key(units.POSITIVE_COUNT),
        "retry_ratio": Key(units.RATIO),
        "minimum_share": Key(units.RATIO),
    },
)
SERVER = SectionSchema(
    BackendServer,
    {
        "pool": Key(units.NAME, required=True),
        "zone": Key(units.NAME, required=True),
        "address": Key(units.ADDRESS, required=True),
        "kind": Key(units.NAME),
        "slots": Key(units.POSITIVE_COUNT),
        "kv_tokens": Key(units.POSITIVE_COUNT),
        "prefill_rate": Key(units.POSITIVE),
        "decode_interval": Key(units.DURATION),
        "models": Key(units.LABELS),
        "fences_orders": Key(units.FLAG),
        "adapters": Key(units.LABELS),
        "model_version": Key(units.NAME),
        "role": Key(units.NAME),
        "drained": Key(units.FLAG),
    },
)
SERVICE = SectionSchema(
    Service,
    {
        "pool": Key(units.NAME, required=True),
        "work_class": Key(units.NAME, required=True),
        "write_class": Key(units.NAME, required=True),
    },
)
LIMITS = SectionSchema(
    Limits,
    {
        "max_body": Key(units.SIZE),
        "max_answer_record": Key(units.SIZE),
        "idle_timeout": Key(units.DURATION),
        "freshness": Key(units.DURATION),
        "target_inter_token": Key(units.DURATION),
        "target_first_token": Key(units.DURATION),
        "claim_slots": Key(units.POSITIVE_COUNT),
        "claim_retention": Key(units.DURATION),
    },
    named=False,
)
OPERATORS = SectionSchema(None, {"key_hashes": Key(units.DIGESTS)}, named=False)
HOST = SectionSchema(
    HostConfig,
    {
        "host": Key(units.NAME, required=True),
        "zone": Key(units.NAME, required=True),
        "http_address": Key(units.ADDRESS, required=True),
        "peer_address": Key(units.ADDRESS, required=True),
        "platform_url": Key(units.URL, required=True),
        "peer_key": Key(units.TEXT, required=True),
        "seeds": Key(units.ADDRESSES),
        "statsd_address": Key(units.ADDRESS),
        "log_level": Key(units.NAME),
        "capacity": Key(units.POSITIVE),
    },
    named=False,
)

SECTIONS = {
    "deployment": DEPLOYMENT,
    "tier": TIER,
    "class": CLASS,
    "workspace": WORKSPACE,
    "pool": POOL,
    "server": SERVER,
    "service": SERVICE,
    "limits": LIMITS,
    "operators": OPERATORS,
}
HOST_SECTIONS = {"host": HOST}
