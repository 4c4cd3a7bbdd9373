"""Guards against invalid, older or partly applied configurations."""

import time

import pytest_bdd

from bramleyfork.configuration import manifests
from tests.scenarios import fleet_promises

pytest_plugins = ["tests.scenarios.fleet_steps"]

pytest_bdd.scenarios("fleet_configuration.feature")

parse = pytest_bdd.parsers.parse

LARGE_PART_BYTES = 999_900


def build_values(running, revision=None, **parts):
    """Returns the values of the next revision with some parts changed."""
    deployment = running.fleet.deployment
    kept, deployment.parts = deployment.parts, {**deployment.parts, **parts}
    try:
        return deployment.build_values(revision)
    finally:
        deployment.parts = kept


def publish(running, values):
    running.fleet.platform.control("publish", values=values)


def comment(running, key, words):
    return f"# {words}\n{running.fleet.deployment.parts[key]}"


def change_part(key, old, new):
    def build(running):
        text = running.fleet.deployment.parts[key]
        assert old in text
        return build_values(running, **{key: text.replace(old, new)})

    return build


def drop_part(running):
    values = build_values(running, targets=comment(running, "targets", "new"))
    del values["targets"]
    return values


def change_after_manifest(running):
    values = build_values(running, services=comment(running, "services", "a"))
    return {**values, "services": comment(running, "services", "b")}


def drop_revision(running):
    values = build_values(running)
    rows = values[manifests.MANIFEST_KEY].splitlines(keepends=True)
    kept = "".join(row for row in rows if not row.startswith("revision"))
    return {**values, manifests.MANIFEST_KEY: kept}


FAULTS = {
    "a value of 0 slots": change_part("services", "slots = 2", "slots = 0"),
    "an unknown key": change_part("services", "slots = 2", "slotz = 2"),
    "an undeclared place": change_part("targets", '"south"', '"west"'),
    "a missing part": drop_part,
    "a wrong digest": change_after_manifest,
    "no revision": drop_revision,
}


def show(running, host):
    return running.fleet.administer(host, "/v1/configuration")


@pytest_bdd.when(parse("operators publish a configuration with {fault}"))
def publish_fault(running, fault):
    running.marks["before"] = fleet_promises.read_versions(running)
    publish(running, FAULTS[fault](running))


@pytest_bdd.when("operators publish a right configuration")
def publish_right(running):
    publish(running, build_values(running))
    running.marks["revision"] = running.fleet.deployment.revision


@pytest_bdd.then(parse("every host reports a refusal that names {words}"))
def check_refusals(running, words):
    for host in running.fleet.daemons:
        refused = running.wait_until(
            lambda host=host: show(running, host)["refused"],
            f"refusal at {host}",
            4.0,
        )
        for word in words.split("; "):
            assert word in refused["reason"], refused


@pytest_bdd.then("no host reports a refusal")
def check_no_refusal(running):
    assert [show(running, h)["refused"] for h in running.fleet.daemons] == [
        None
    ] * len(running.fleet.daemons)


@pytest_bdd.then("every host has the configuration before the refused one")
@pytest_bdd.then("every host has the configuration before the new one")
def check_before(running):
    assert fleet_promises.read_versions(running) == running.marks["before"]


@pytest_bdd.then(
    parse('a caller asks host "{host}" for "{lookup}"'),
)
def ask(running, host, lookup):
    running.ask(host, lookup)


@pytest_bdd.when("the platform serves the configuration before")
def serve_stale(running):
    running.fleet.platform.control("stale", manifest_age=1)


@pytest_bdd.then("every host has the newest configuration")
def check_newest(running):
    versions = fleet_promises.read_versions(running)
    assert {v[0] for v in versions.values()} == {running.marks["revision"]}
    assert len(set(versions.values())) == 1


@pytest_bdd.when(
    parse("two publishers use one revision, the higher digest {order}")
)
def publish_twice(running, order):
    revision = running.marks["revision"] + 1
    both = [
        build_values(running, revision, lookups=comment(running, "lookups", n))
        for n in ("one", "two")
    ]
    both.sort(key=find_digest, reverse=order == "first")
    running.marks["digests"] = sorted(find_digest(values) for values in both)
    running.marks["revision"] = revision
    publish(running, both[0])
    fleet_promises.wait_in_force(running, revision)
    publish(running, both[1])


def find_digest(values):
    return manifests.compute_digest(values[manifests.MANIFEST_KEY].encode())


@pytest_bdd.then("every host has the higher digest and reports the conflict")
def check_conflict(running):
    digests = running.marks["digests"]
    for host in running.fleet.daemons:
        shown = running.wait_until(
            lambda host=host: show(running, host).get("conflict"),
            f"conflict at {host}",
            4.0,
        )
        assert shown["digests"] == digests
        running.wait_until(
            lambda host=host: (
                show(running, host)["in_force"]["digest"] == digests[-1]
            ),
            f"higher digest at {host}",
            4.0,
        )


@pytest_bdd.when("revisions arrive out of order")
def publish_out_of_order(running):
    highest = running.marks["revision"] + 5
    publish(running, build_values(running, highest))
    assert fleet_promises.wait_in_force(running, highest) <= 4.0
    for revision in (highest - 2, highest - 1):
        publish(running, build_values(running, revision))
        # Hosts report the manifest that the platform served last. It may be an
        # old one, but that one must not come into force.
        running.wait_until(
            lambda revision=revision: all(
                show(running, host)["platform"]["revision"] == revision
                for host in running.fleet.daemons
            ),
            f"platform view {revision}",
        )
    running.marks["revision"] = highest


@pytest_bdd.when(parse("operators publish {which} part close to one megabyte"))
def publish_large(running, which):
    running.marks["before"] = fleet_promises.read_versions(running)
    text = f"# {which}\n" + running.fleet.deployment.parts["lookups"]
    padding = "#" * (LARGE_PART_BYTES - len(text) - 1)
    values = build_values(running, lookups=f"{text}{padding}\n")
    assert len(values["lookups"]) == LARGE_PART_BYTES
    publish(running, values)
    running.marks["revision"] = running.fleet.deployment.revision


@pytest_bdd.when(
    parse('host "{host}" starts again while operators publish every second')
)
def restart_among_publications(running, host):
    running.fleet.start_daemon(host)
    publisher = fleet_promises.Publisher(running, pause_s=1.0)
    running.marks["publisher"] = publisher
    running.fleet.wait_ready(host)
    running.marks["ready"] = time.time()


@pytest_bdd.then(
    parse('host "{host}" sends work to targets within {seconds:g} seconds')
)
def check_sends(running, host, seconds):
    try:
        running.wait_until(
            lambda: fleet_promises.list_arrivals(
                running,
                running.fleet.declaration.targets,
                running.marks["ready"],
                source=running.fleet.find_ip(host),
            ),
            f"work of {host}",
            seconds,
        )
    finally:
        running.marks["publisher"].stop()
