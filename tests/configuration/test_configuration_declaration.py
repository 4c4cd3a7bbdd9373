import pathlib

import pytest

from bramleyfork.configuration import declaration
from bramleyfork.configuration import manifests
from bramleyfork.configuration import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

GOOD = """
[deployment]
name = "test"
[[data_centres]]
name = "north"
region = "one"
[[data_centres]]
name = "south"
region = "one"
out = true
[[hosts]]
name = "h1"
data_centre = "north"
peer_address = "127.0.1.1:7000"
caller_address = "127.0.1.1:8080"
[[services]]
name = "booking"
count = 3
slots = 2
connections = 25
[[services]]
name = "kiln"
slots = 3
queue = 1
connections = 100
[[targets]]
service = "booking-*"
replicas = 2
data_centres = ["north", "south"]
addresses = ["127.0.1.10", "::1"]
first_port = 20000
out = ["booking-02-1"]
[[targets]]
name = "kiln-a"
service = "kiln"
data_centre = "north"
address = "127.0.1.10:21000"
[[lookups]]
name = "all"
services = ["booking-*", "kiln", "booking-01"]
urgent = true
[[lookups]]
name = "hold"
services = ["booking-01"]
keyed = true
idempotent = false
"""


def create_parts(*texts):
    bodies = {f"part-{n}": text.encode() for n, text in enumerate(texts)}
    body = manifests.build_manifest(bodies, revision=7)
    return bodies | {"manifest": body}


def check(*texts):
    return declaration.check_declaration(create_parts(*texts))


def describe(*texts):
    return declaration.describe_problems(check(*texts).error)


def test_templates_are_expanded():
    accepted = check(GOOD).ok
    assert accepted.revision == 7
    assert list(accepted.services) == [
        *("booking-01", "booking-02", "booking-03"),
        "kiln",
    ]
    assert accepted.services["booking-01"].queue == 4
    assert accepted.services["kiln"].queue == 1
    assert len(accepted.targets) == 7
    target = accepted.targets["booking-02-1"]
    assert (target.data_centre, target.address) == ("south", "[::1]:20002")
    assert target.out
    assert accepted.lookups["all"].services == tuple(accepted.services)


def test_defaults_of_the_deployment():
    accepted = check(GOOD).ok
    assert accepted.placement_lifetime_s == 5.0
    assert accepted.longest_deadline_s == 2.0
    assert accepted.strategy == "owner"
    assert accepted.replica_policy == "power_of_two"
    assert accepted.hedge_percentile == 95.0
    assert (accepted.hedge_budget, accepted.retry_budget) == (0.05, 0.10)


def test_tables_may_be_spread_over_parts():
    cut = GOOD.index("[[services]]")
    spread = check(GOOD[:cut], GOOD[cut:]).ok
    whole = check(GOOD).ok
    assert spread.replace(digest=whole.digest) == whole


@pytest.mark.parametrize(
    ("old", "new", "quoted"),
    [
        ("[deployment]", "[deploiment]", "did you mean 'deployment'?"),
        ("[deployment]", "[[deployment]]", "a table [deployment]"),
        ('[deployment]\nname = "test"', "", "exactly one such table"),
        ('[[services]]\nname = "kiln"', "[services.x]\na = 1", "services"),
        ("urgent = true", "urgent = 1", "lookups[all].urgent has the value 1"),
        ("slots = 2", "slots = 0", "services[booking].slots"),
        ("slots = 2", "slot = 2", "did you mean 'slots'?"),
        ("connections = 25", "", "services[booking].connections is missing"),
        ("count = 3", "count = 0", "count has the value 0"),
        ('name = "test"', 'name = "test"\nhedge_budget = 2', "0 to 1"),
        ('name = "test"', 'name = "test"\nstrategy = "x"', "'direct'"),
        ('name = "south"', 'name = "north"', "unique among data_centres"),
        ('"h1"\ndata_centre = "north"', '"h1"\ndata_centre = "nort"', "north"),
        ('"kiln"\ndata_centre = "north"', '"kiln"\ndata_centre = "n"', "'n'"),
        ('service = "kiln"', 'service = "kilm"', "did you mean 'kiln'?"),
        ('service = "booking-*"', 'service = "b*x"', "'b*x'"),
        ("8080", "7000", "an address that is declared only once"),
        ("127.0.1.10:21000", "127.0.1.1:8080", "'h1' in part-0.toml"),
        ("127.0.1.10:21000", "127.0.1.10", "targets[kiln-a].address"),
        ('"127.0.1.10", "::1"', '"::1"', "one IP address for each of"),
        ("first_port = 20000", "first_port = 65531", "at most 65530"),
        ("first_port = 20000", "first_port = 0", "first_port has the value 0"),
        ("booking-02-1", "booking-02-9", "'booking-02-9'"),
        ("replicas = 2", "replicas = 101", "1 to 100"),
        ('"kiln", "booking-01"]', '"kilns"]', "did you mean 'kiln'?"),
        ("keyed = true", "", "true, as the lookup is not idempotent"),
        ('["booking-01"]', '["booking-*"]', "exactly one service"),
        ('["booking-01"]', "[]", "at least 1 entries"),
        ('name = "kiln-a"', 'name = "booking-01-1"', "unique among targets"),
    ],
)
def test_each_kind_of_fault_is_refused(old, new, quoted):
    assert GOOD.count(old) >= 1
    text = describe(GOOD.replace(old, new, 1))
    assert quoted in text
    assert ".toml: " in text


def test_declaration_without_hosts_is_refused():
    start = GOOD.index("[[hosts]]")
    end = GOOD.index("[[services]]")
    assert "at least one host" in describe(GOOD[:start] + GOOD[end:])


def test_service_without_target_is_refused():
    text = '[[services]]\nname = "x"\nslots = 1\nconnections = 1'
    assert "a service with at least one target" in describe(GOOD, text)


def test_all_faults_are_reported_at_once():
    text = GOOD.replace("slots = 2", "slots = 0").replace("8080", "80800")
    assert len(check(text, "[other]").error) == 3


@pytest.mark.parametrize("key", ["manifest", "part-0"])
def test_missing_parts_are_refused(key):
    parts = create_parts(GOOD)
    del parts[key]
    (problem,) = declaration.check_declaration(parts).error
    assert f"{key}.toml: content is missing" in problem.describe()


def test_part_with_other_content_is_refused():
    parts = create_parts(GOOD) | {"part-0": GOOD.encode() + b"#"}
    (problem,) = declaration.check_declaration(parts).error
    assert "run publish-manifest" in problem.describe()


def test_other_deployment_is_refused():
    parts = create_parts(GOOD)
    assert declaration.check_for_deployment(parts, "test").is_ok()
    (problem,) = declaration.check_for_deployment(parts, "live").error
    assert problem.value == "test"


@pytest.mark.parametrize(
    ("name", "targets"), [("torno-norte", 107), ("waagner", 110)]
)
def test_examples_are_accepted_and_fit_their_settings(name, targets):
    folder = EXAMPLES / name
    parts = manifests.read_folder(folder / "declaration").ok
    accepted = declaration.check_declaration(parts).ok
    assert (len(accepted.services), len(accepted.targets)) == (52, targets)
    paths = sorted((folder / "hosts").glob("*.toml"))
    assert [path.stem for path in paths] == sorted(accepted.hosts)
    for path in paths:
        loaded = settings.load_settings(path).ok
        host = accepted.hosts[loaded.host]
        assert loaded.deployment == accepted.deployment
        assert loaded.data_centre == host.data_centre
        assert loaded.peer_address == host.peer_address
        assert loaded.caller_address == host.caller_address


def test_revisions_share_unchanged_tables():
    # Guards against changes of one part that process all targets again, and
    # against stale tables that stay in the cache after their part has changed.
    head, _, lookups = GOOD.partition("[[lookups]]")
    lookups = "[[lookups]]" + lookups

    def check(head, lookups):
        return declaration.check_declaration(create_parts(head, lookups)).ok

    first = check(head, lookups)
    second = check(head, lookups.replace("urgent = true", "urgent = false"))
    third = check(head.replace("slots = 3", "slots = 4"), lookups)
    assert first.lookups["all"].urgent
    assert not second.lookups["all"].urgent
    for table in ("data_centres", "hosts", "services", "targets"):
        assert getattr(first, table) is getattr(second, table)
    assert third.services["kiln"].slots == 4
    assert first.services["kiln"].slots == 3
