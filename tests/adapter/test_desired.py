import msgspec
import pytest

from amaranthferry.catalog import CatalogPart, RouteKind, RouteTable
from amaranthferry.exceptions import SettingsError
from amaranthferry.platform.desired import read_catalog, read_instance, read_order
from amaranthferry.rollout.orders import RolloutState
from amaranthferry.types import ServerState


def route(name, prefix, **changes):
    return {
        "name": name,
        "host": "Desk.example",
        "pathPrefix": prefix,
        "type": "safe",
        "service": "ledger",
        **changes,
    }


def spec(*routes, **changes):
    services = [{"name": "ledger", "healthPath": "/healthz"}]
    return {"version": 3, "routes": list(routes), "services": services, **changes}


def test_longest_prefix_wins():
    table = RouteTable(read_catalog(spec(route("a", "/a/"), route("b", "/a/b/"))))
    assert table.route("desk.example", "/a/x").name == "a"
    assert table.route("DESK.example:80", "/a/b/c").name == "b"
    assert table.route("desk.example", "/a/b").name == "a"
    assert table.route("desk.example", "/ab/") is None
    assert table.route("other.example", "/a/") is None


def test_split_is_by_weight_and_deterministic():
    parts = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    catalog = read_catalog(spec(route("a", "/a/", service="", backends=parts)))
    chosen = [catalog.routes[0].service_for(f"attempt-{n}") for n in range(2_000)]
    assert 0.06 < chosen.count("y") / len(chosen) < 0.14
    assert chosen[:50] == [
        catalog.routes[0].service_for(f"attempt-{n}") for n in range(50)
    ]


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("safe", False, True),
        ("unsafe", False, False),
        ("unsafe", True, False),
        ("streaming", False, False),
        ("streaming", True, True),
    ],
)
def test_repeatable_follows_from_the_route_kind(kind, resumable, repeatable):
    item = route("pay", "/p/", type=kind, resumable=resumable)
    parsed = read_catalog(spec(item)).routes[0]
    assert parsed.kind is RouteKind(kind)
    assert parsed.repeatable is repeatable


def test_no_tenants_means_no_keys():
    assert not RouteTable(read_catalog(spec(route("a", "/a/")))).needs_key
    table = RouteTable(read_catalog(spec(route("a", "/a/"), tenants=[])))
    assert table.needs_key
    assert table.subscriber("k") is None


def test_engine_of_a_service_is_read():
    engine = {"slots": 10, "kvCapacity": 5_000, "stride": 5, "models": [{"name": "m"}]}
    services = [{"name": "llm", "healthPath": "/h", "engine": engine, "new": 1}]
    parsed = read_catalog(spec(services=services)).services["llm"].engine
    assert (parsed.slots, parsed.kv_tokens, parsed.event_tokens) == (10, 5_000, 5)


@pytest.mark.parametrize(
    "bad",
    [None, {"version": "x"}, {"version": 1}, {**spec(), "routes": {}}],
)
def test_unreadable_configuration_raises_settings_error(bad):
    with pytest.raises(SettingsError, match="can't be read"):
        read_catalog(bad)


def test_route_of_an_unknown_kind_runs_at_most_once():
    item = route("a", "/a/", type="newer", maxAttempts=3, resumable=True)
    (parsed,) = read_catalog(spec(item, tenants=[])).routes
    assert parsed.kind is RouteKind.UNSAFE
    assert not parsed.repeatable
    assert parsed.max_attempts == 1


@pytest.mark.parametrize(
    "odd",
    [
        7,
        None,
        {},
        {"name": "odd", "host": "Desk.example", "pathPrefix": "/a/odd/"},
        route("odd", "/a/odd/", timeoutMs="long"),
        route("odd", 7),
    ],
)
def test_route_that_cannot_be_read_takes_no_other_with_it(odd):
    table = RouteTable(read_catalog(spec(route("a", "/a/"), odd, route("b", "/b/"))))
    assert table.route("desk.example", "/a/x").name == "a"
    assert table.route("desk.example", "/b/x").name == "b"
    assert table.may_lack_routes
    assert [item.part for item in table.catalog.left_out] == [CatalogPart.ROUTE]


def test_path_of_an_unreadable_route_is_not_served_by_a_shorter_prefix():
    odd = route("odd", "/a/odd/", timeoutMs="long")
    table = RouteTable(read_catalog(spec(route("a", "/a/"), odd)))
    assert table.route("desk.example", "/a/odd/x") is None
    assert table.route("desk.example", "/a/x").name == "a"


@pytest.mark.parametrize(
    ("tenants", "known"),
    [
        ([{"name": "t", "apiKeys": ["k", 7]}], True),
        ([{"name": "t", "apiKeys": ["k"]}, {"name": 7, "apiKeys": ["l"]}], True),
        ([{"name": "t", "apiKeys": ["k"], "ratePerS": "much"}], False),
        ({"t": ["k"]}, False),
    ],
)
def test_only_readable_keys_of_a_version_are_in_force(tenants, known):
    table = RouteTable(read_catalog(spec(route("a", "/a/"), tenants=tenants)))
    assert table.needs_key
    assert (table.subscriber("k") is not None) == known
    assert table.subscriber("l") is None
    assert table.may_lack_keys


@pytest.mark.parametrize("odd", [7, {"name": "odd", "engine": {"slots": "x"}}])
def test_unreadable_service_or_limit_takes_no_other_part_with_it(odd):
    services = [{"name": "ledger"}, odd]
    limits = {"maxBodyBytes": "large"}
    catalog = read_catalog(spec(services=services, limits=limits))
    assert list(catalog.services) == ["ledger"]
    assert catalog.limits.max_body > 0
    assert [item.part for item in catalog.left_out] == [
        CatalogPart.SERVICE,
        CatalogPart.LIMITS,
    ]


ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:8080",
    "zone": "z",
    "state": "ready",
    "slots": 4,
    "born": 7,
    "sequence": 2,
}


def test_entry_becomes_an_instance():
    instance = read_instance("i-1", ENTRY)
    assert (instance.server, instance.service, instance.incarnation) == (
        "i-1",
        "llm",
        7,
    )
    assert instance.state is ServerState.LIVE
    assert read_instance("i-1", {**ENTRY, "state": "draining"}).state is (
        ServerState.LEAVING
    )


@pytest.mark.parametrize(
    "bad",
    [
        None,
        "text",
        {},
        {**ENTRY, "address": 7},
        {**ENTRY, "address": "10.0.0.1"},
        {**ENTRY, "address": "10.0.0.1:x"},
        {**ENTRY, "address": "10.0.0.1:70000"},
        {**ENTRY, "address": "10.0.0.1:1_0"},
        {**ENTRY, "address": "10.0.0.1:-1"},
        {**ENTRY, "slots": 2**70},
        {**ENTRY, "slots": -1},
        {**ENTRY, "born": 2**63},
        {**ENTRY, "version": 10**5_000},
        {**ENTRY, "state": "odd"},
        {**ENTRY, "service": None},
        {key: value for key, value in ENTRY.items() if key != "zone"},
    ],
)
def test_malformed_entry_gives_no_instance(bad):
    assert read_instance("i-1", bad) is None


@pytest.mark.parametrize(
    ("status", "state"),
    [
        (None, None),
        ({"state": "in_progress", "to": "v2"}, "in_progress"),
        ({"state": "rolled_back", "to": "v2", "new": 1}, "rolled_back"),
        ({"state": "completed", "to": "v1"}, None),
    ],
)
def test_order_of_a_rollout_is_read_with_the_status_that_is_about_it(status, state):
    spec = {"service": "ledger", "to": "v2", "durationS": 12}
    order = read_order("ledger", spec, status)
    assert (order.service, order.version, order.duration) == ("ledger", "v2", 12)
    assert order.state == state
    written = msgspec.to_builtins(order.status(RolloutState.COMPLETED))
    assert written == {"state": "completed", "to": "v2"}


@pytest.mark.parametrize(
    ("spec", "status"),
    [
        (None, None),
        ({"service": "s", "to": "v2", "durationS": 0}, None),
        ({"service": "s", "to": None, "durationS": 1}, None),
        ({"service": "s", "to": "v2", "durationS": 1}, {"state": "odd", "to": "v2"}),
    ],
)
def test_order_that_cannot_be_read_is_none(spec, status):
    assert read_order("s", spec, status) is None


def test_version_that_is_a_number_is_written_back_as_one():
    order = read_order("s", {"service": "s", "to": 7, "durationS": 1}, None)
    assert order.version == "7"
    assert order.status(RolloutState.COMPLETED).to == 7


def engine_service(**engine):
    return {"name": "engines", "engine": {"slots": 4, "kvCapacity": 1_000, **engine}}


def test_runs_move_only_where_the_engine_says_so_and_how():
    whole = {"moves": True, "kvBytes": 1_000, "linkMbps": 10, "handleTtlS": 3}
    catalog = read_catalog(spec(services=[engine_service(**whole)]))
    moves = catalog.services["engines"].engine.moves
    assert (moves.token_bytes, moves.link_rate) == (1_000, 1_250_000)
    assert moves.handle_lifetime == 3
    assert moves.copy_time(2_500, same_zone=True) == 2
    assert moves.copy_time(2_500, same_zone=False) == 4


@pytest.mark.parametrize(
    "engine",
    [
        {},
        {"moves": False, "kvBytes": 1_000, "linkMbps": 10},
        {"moves": "yes", "kvBytes": 1_000, "linkMbps": 10},
        {"moves": True, "kvBytes": 0, "linkMbps": 10},
        {"moves": True, "kvBytes": "much", "linkMbps": 10},
        {"moves": True, "kvBytes": 1_000, "linkMbps": 10, "handleTtlS": -1},
        {"moves": True},
    ],
)
def test_service_is_read_without_moves_where_they_are_off_or_unreadable(engine):
    """Guard against a service that is lost for a part that only moves need."""
    catalog = read_catalog(spec(services=[engine_service(**engine)]))
    assert catalog.services["engines"].engine.moves is None
    assert not catalog.left_out
