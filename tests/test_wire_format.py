"""Compare encoded messages and records with those of an earlier release.

Hosts of two releases exchange messages during a rolling update, and a new release reads
what the old one stored. Renaming a field or a class must not change the encoding.
"""

import msgspec
import pytest

from amaranthferry import (
    audit,
    bench,
    bench_kinds,
    chunks,
    claim_record,
    codec,
    config,
    explain,
    gossip,
    handshake,
    load,
    metrics,
    orders,
    presence,
    publish,
    root,
    status,
)
from amaranthferry.replica import presence as gateway_presence

PEER_MESSAGES = codec.PeerMessage
PACKETS = gossip.AnyPacket
HANDSHAKE = handshake.Hello | handshake.Challenge | handshake.Proof

#: Every field holds a value of its own, in msgpack as hex digits.
ENCODED = [
    (
        PEER_MESSAGES,
        "dc0016a361736ba27331a27332a273330405cb401a0000000000000708a27339910ac3c3cb402b000000000000a3733134cb402f000000000000911091a3733137cb4032800000000000cb403380000000000013c3",
    ),
    (PEER_MESSAGES, "99a56772616e74a27331a27332a27333cb401200000000000005c391069107"),
    (PEER_MESSAGES, "92a6717565756564a27331"),
    (
        PEER_MESSAGES,
        "95a6726566757365a27331a27332ab6b65795f756e6b6e6f776ecb400c000000000000",
    ),
    (PEER_MESSAGES, "93a87769746864726177a27331a27332"),
    (
        PEER_MESSAGES,
        "98a870726f6772657373a27331a27332a27333cb401200000000000005cb401a000000000000c3",
    ),
    (
        PEER_MESSAGES,
        "9da772656c65617365a27331a27332a27333c3c3060708cb4023000000000000cb4025000000000000cb4029000000000000c3",
    ),
    (
        PEER_MESSAGES,
        "98a87265676973746572a2733191dc0016a361736ba27332a27333a273340506cb401e0000000000000809a3733130910bc3c3cb402d000000000000a3733135cb4030800000000000911191a3733138cb4033800000000000cb40348000000000003ac39194dc0016a361736ba3733231a3733232a37332331819cb403a8000000000001b1ca3733239911ec3c3cb4040c00000000000a3733334cb4041c00000000000912491a3733337cb4043400000000000cb4043c000000000003bc3a373343029cb404540000000000081a373343391cb4046400000000000cb4046c00000000000919693a373353033a3733532cb404ac00000000000cb404b400000000000cb404bc00000000000cb404c400000000000a3733537c3",
    ),
    (PEER_MESSAGES, "94a6616476657274a27331a2733291cb400c000000000000"),
    (PEER_MESSAGES, "92a76c656176696e67a27331"),
    (
        PEER_MESSAGES,
        "93a57573616765a2733281a2733392cb4016000000000000cb0000000000000000",
    ),
    (PEER_MESSAGES, "95a86e6577735f61736b01a273320306"),
    (
        PEER_MESSAGES,
        "9ca46e65777301a273320304cb40160000000000009194a2733607c381a16b0106c4026238a273390ac3",
    ),
    (PEER_MESSAGES, "94a6736572766572a27331a46c6f7374a56f72646572"),
    (
        PEER_MESSAGES,
        "94ae6c656176696e675f73657276657293a2733102a27333a27334cb4016000000000000",
    ),
    (
        PEER_MESSAGES,
        "93ac7365727665725f6c696d69749693a2733102a27333cb4012000000000000cb4016000000000000cb401a000000000000cb401e000000000000a27338a27339",
    ),
    (
        PEER_MESSAGES,
        "94ad6861726d66756c5f7061727473919495a27331a27332a2733304a772657175657374919993a2733506a27337a27338cb4023000000000000c3c3c3910acb402b0000000000000e0bcb4029000000000000a3733133a6616e73776572",
    ),
    (
        PEER_MESSAGES,
        "96a46d6f7665a27331a27332a27333a27334cb4016000000000000",
    ),
    (
        PEER_MESSAGES,
        "96a86d6f76655f656e64a27331a27332a27333a27334a872657475726e6564",
    ),
    (PEER_MESSAGES, "93ac73657474696e67735f61736b0102"),
    (PEER_MESSAGES, "93ad73657474696e67735f74656c6c0102"),
    (PEER_MESSAGES, "92ad73657474696e67735f6e65777301"),
    (PEER_MESSAGES, "91b273657474696e67735f77617463685f61736b"),
    (PEER_MESSAGES, "91b173657474696e67735f726f6f745f61736b"),
    (PEER_MESSAGES, "92ad73657474696e67735f726f6f74c4026231"),
    (PEER_MESSAGES, "92b273657474696e67735f6368756e6b5f61736bc4026231"),
    (PEER_MESSAGES, "93ae73657474696e67735f6368756e6bc4026231c4026232"),
    (
        PEER_MESSAGES,
        "9cae726f6c6c6f75745f7265706f7274a27331a2733203a663616e617279cb401200000000000005cb401a00000000000007089198a27331c302030492050691079108a3733131",
    ),
    (
        PEER_MESSAGES,
        "99ac726f6c6c6f75745f73746570a27331a2733203a663616e617279cb401200000000000091a27336cb401e000000000000a27338",
    ),
    (
        PACKETS,
        "94a470696e6797a27331a27332a273330405c3cb401100000000000091920397a27337a27338a273390a0bc3cb40310000000000000d",
    ),
    (
        PACKETS,
        "96a361736b97a27331a27332a273330405c3cb401100000000000091920397a27337a27338a273390a0bc3cb40310000000000000da3733134a3733135",
    ),
    (
        PACKETS,
        "95a361636b97a27331a27332a273330405c3cb401100000000000091920397a27337a27338a273390a0bc3cb40310000000000000da3733134",
    ),
    (
        PACKETS,
        "93a6676f7373697097a27331a27332a273330405c3cb401100000000000091920397a27337a27338a273390a0bc3cb4031000000000000",
    ),
    (
        PACKETS,
        "94a8706167655f61736b97a27331a27332a273330405c3cb401100000000000091920397a27337a27338a273390a0bc3cb4031000000000000a3733133",
    ),
    (
        PACKETS,
        "94a47061676597a27331a27332a273330405c3cb401100000000000091920397a27337a27338a273390a0bc3cb4031000000000000a3733133",
    ),
    (HANDSHAKE, "94a568656c6c6f01a27332c4026233"),
    (HANDSHAKE, "95a96368616c6c656e676501a27332c4026233c4026234"),
    (HANDSHAKE, "92a570726f6f66c4026231"),
    (orders.Lease, "93a27331a2733203"),
    (
        claim_record.ClaimEntry,
        "96c4026231c40262320203a2733493059192a27336a27337c4026238",
    ),
    (root.ChunkRef, "92c402623102"),
]

#: Messages of an earlier release, and the values of the fields added since then.
EXTENDED = [
    (
        "97a87265676973746572a2733191dc0016a361736ba27332a27333a273340506cb401e0000000000000809a3733130910bc3c3cb402d000000000000a3733135cb4030800000000000911191a3733138cb4033800000000000cb40348000000000003ac39194dc0016a361736ba3733231a3733232a37332331819cb403a8000000000001b1ca3733239911ec3c3cb4040c00000000000a3733334cb4041c00000000000912491a3733337cb4043400000000000cb4043c000000000003bc3a373343029cb404540000000000081a373343391cb4046400000000000cb4046c00000000000919693a373353033a3733532cb404ac00000000000cb404b400000000000cb404bc00000000000cb404c400000000000a3733537",
        [False],
    ),
    (
        "97a870726f6772657373a27331a27332a27333cb401200000000000005cb401a000000000000",
        [False],
    ),
    (
        "dc0015a361736ba27331a27332a273330405cb401a0000000000000708a27339910ac3c3cb402b000000000000a3733134cb402f000000000000911091a3733137cb4032800000000000cb403380000000000013",
        [False],
    ),
    (
        "dc0014a361736ba27331a27332a273330405cb401a0000000000000708a27339910ac3c3cb402b000000000000a3733134cb402f000000000000911091a3733137cb4032800000000000cb4033800000000000",
        [0, False],
    ),
    (
        "9ba772656c65617365a27331a27332a27333c3c3060708cb4023000000000000cb4025000000000000",
        [0.0, False],
    ),
    (
        "9ca772656c65617365a27331a27332a27333c3c3060708cb4023000000000000cb4025000000000000cb4029000000000000",
        [False],
    ),
    ("96a56772616e74a27331a27332a27333cb401200000000000005", [False, [], []]),
    ("94a86e6577735f61736b01a2733203", [0]),
    (
        "97a46e65777301a273320304cb40160000000000009194a2733607c381a16b01",
        [0, b"", "", 0, False],
    ),
    (
        "9ba46e65777301a273320304cb40160000000000009194a2733607c381a16b0106c4026238a273390a",
        [False],
    ),
]

#: Messages of an earlier release, with structures inside that have grown since then.
GROWN_INSIDE = [
    "97a87265676973746572a2733191dc0015a361736ba27332a27333a273340506cb401e0000000000000809a3733130910bc3c3cb402d000000000000a3733135cb4030800000000000911191a3733138cb4033800000000000cb40348000000000003a9194dc0015a361736ba3733231a3733232a37332331819cb403a8000000000001b1ca3733239911ec3c3cb4040c00000000000a3733334cb4041c00000000000912491a3733337cb4043400000000000cb4043c000000000003ba373343029cb404540000000000081a373343391cb4046400000000000cb4046c00000000000919693a373353033a3733532cb404ac00000000000cb404b400000000000cb404bc00000000000cb404c400000000000a3733537",
    "97a87265676973746572a2733191dc0014a361736ba27332a27333a273340506cb401e0000000000000809a3733130910bc3c3cb402d000000000000a3733135cb4030800000000000911191a3733138cb4033800000000000cb40348000000000009194dc0014a361736ba3733231a3733232a37332331819cb403a8000000000001b1ca3733239911ec3c3cb4040c00000000000a3733334cb4041c00000000000912491a3733337cb4043400000000000cb4043c00000000000a373343029cb404540000000000081a373343391cb4046400000000000cb4046c00000000000919693a373353033a3733532cb404ac00000000000cb404b400000000000cb404bc00000000000cb404c400000000000a3733537",
    "94ad6861726d66756c5f7061727473919494a27331a27332a2733304919793a2733506a27337a27338cb4023000000000000c3c3c3910a0bcb4029000000000000a3733133a6616e73776572",
    "96a87265676973746572a2733191dc0014a361736ba27332a27333a273340506cb401e0000000000000809a3733130910bc3c3cb402d000000000000a3733135cb4030800000000000911191a3733138cb4033800000000000cb40348000000000009194dc0014a361736ba3733231a3733232a37332331819cb403a8000000000001b1ca3733239911ec3c3cb4040c00000000000a3733334cb4041c00000000000912491a3733337cb4043400000000000cb4043c00000000000a373343029cb404540000000000081a373343391cb4046400000000000cb4046c00000000000",
]

#: Packets of an earlier release, whose members have no capacity.
EARLIER_PACKETS = [
    "94a470696e6796a27331a27332a273330405c391920396a27337a27338a273390a0bc30d",
    "96a361736b96a27331a27332a273330405c391920396a27337a27338a273390a0bc30da3733134a3733135",
    "95a361636b96a27331a27332a273330405c391920396a27337a27338a273390a0bc30da3733134",
    "93a6676f7373697096a27331a27332a273330405c391920396a27337a27338a273390a0bc3",
    "94a8706167655f61736b96a27331a27332a273330405c391920396a27337a27338a273390a0bc3a3733133",
    "94a47061676596a27331a27332a273330405c391920396a27337a27338a273390a0bc3a3733133",
]

#: Fields that are encoded by name, in order.
FIELDS = {
    root.AuditEntry: "version previous who when nonce changes omitted details",
    root.Change: "section key before after",
    root.Root: "version nonce base servers workspaces drained recent retired",
    chunks.BaseChunk: "name tiers classes pools services operator_key_hashes drained limits",
    config.Workspace: "name tier classes default_class key_hashes weight",
    config.BackendServer: "name pool zone address kind slots kv_tokens prefill_rate decode_interval models fences_orders adapters model_version role",
    config.Limits: "max_body max_answer_record idle_timeout freshness target_inter_token target_first_token claim_slots claim_retention",
    config.WorkClass: "name rank default_timeout max_timeout bulk may_be_refused never_repeated require_key cancel_when_caller_gone store_outage expected_output_tokens",
    config.Pool: "name kind models queue_limit bulk_share servers_per_shard retry_ratio minimum_share",
    config.Tier: "name rank",
    config.Service: "name pool work_class write_class",
    status.HostStatus: "host zone url settings_version settings_current draining hosts shards requests servers",
    status.ShardStatus: "shard coordinator local waits",
    status.ServerStatus: "server pool zone address kind signs",
    presence.PresenceEntry: "host address refreshed",
    gateway_presence.HostEntry: "address capacity",
    audit.AuditTrail: "source entries",
    explain.Origin: "value place override",
    explain.Explanation: "section key origins",
    load.LoadResult: "plan tiers samples prefill_tokens wasted_prefill platform_calls peer_bytes",
    load.LoadPlan: "urls keys workload model rate duration seed length_scale name_classes",
    load.TierResult: "tier sent done late not_run unknown goodput first_token elapsed",
    bench.Row: "workload load policy fault seed sent inversions standard_inversions goodput total_goodput oracle_goodput goodput_tokens prefill_tokens wasted_prefill_tokens bulk_admitted bulk_admitted_late urgent_first_token_p50 urgent_first_token_p99 kinds workspaces_served",
    bench_kinds.KindResult: "level sent in_time late large_served",
    metrics.MetricsReport: "counters quantiles",
    publish.ApplyResult: "version entry",
}


@pytest.mark.parametrize(("kind", "encoded"), ENCODED)
def test_messages_of_an_earlier_release_are_decoded_and_encoded_alike(kind, encoded):
    data = bytes.fromhex(encoded)
    message = msgspec.msgpack.decode(data, type=kind)
    assert msgspec.msgpack.encode(message) == data


@pytest.mark.parametrize(("encoded", "added"), EXTENDED)
def test_messages_from_before_an_added_field_are_decoded(encoded, added):
    data = bytes.fromhex(encoded)
    message = msgspec.msgpack.decode(data, type=PEER_MESSAGES)
    # An earlier release ignores the added last items and reads the rest alike.
    items = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    assert msgspec.msgpack.encode(items[: -len(added)]) == data
    assert items[-len(added) :] == added


def pruned(items, earlier, added):
    """Return the items that an earlier release reads, and collect those after them."""
    if not isinstance(items, list):
        return items
    added += items[len(earlier) :]
    return [
        pruned(item, other, added) for item, other in zip(items, earlier, strict=False)
    ]


@pytest.mark.parametrize("encoded", GROWN_INSIDE)
def test_messages_from_before_a_structure_inside_grew_are_decoded(encoded):
    data = bytes.fromhex(encoded)
    message = msgspec.msgpack.decode(data, type=PEER_MESSAGES)
    items = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    earlier, added = msgspec.msgpack.decode(data), []
    assert pruned(items, earlier, added) == earlier
    assert added
    assert all(item in (0, "part", []) for item in added)


@pytest.mark.parametrize("encoded", EARLIER_PACKETS)
def test_packets_from_before_hosts_told_their_capacity_are_decoded(encoded):
    packet = msgspec.msgpack.decode(bytes.fromhex(encoded), type=PACKETS)
    assert packet.sender.capacity == 0.0
    assert all(update.member.capacity == 0.0 for update in packet.updates)
    # An earlier release ignores the last item of a member and reads the rest alike.
    now = msgspec.msgpack.encode(packet).hex().replace("cb" + "00" * 8, "")
    assert now.replace("97a2", "96a2") == encoded


def test_every_message_is_compared():
    tags = {
        type(msgspec.msgpack.decode(bytes.fromhex(encoded), type=kind))
        for kind, encoded in ENCODED
    }
    assert tags >= {*PEER_MESSAGES.__args__, *PACKETS.__args__, *HANDSHAKE.__args__}


@pytest.mark.parametrize("kind", FIELDS, ids=lambda kind: kind.__qualname__)
def test_fields_keep_their_encoded_names(kind):
    fields = msgspec.structs.fields(kind)
    assert " ".join(field.encode_name for field in fields) == FIELDS[kind]
