from bramleyfork.configuration import manifests
from bramleyfork.decisions import candidates
from bramleyfork.decisions import revisions

PARTS = {"a": b"1", "b": b"2"}
BODY = manifests.build_manifest(PARTS, revision=2)
MANIFEST = manifests.read_manifest(BODY).ok
VERSION = revisions.read_version(MANIFEST)


def create_candidate(*holders):
    candidate = None
    for holder in holders or ("h1",):
        candidate = candidates.apply_offer(candidate, VERSION, holder)
    return candidate


def test_highest_offered_version_is_fetched():
    candidate = create_candidate("h1", "h2", "h1")
    assert candidate.holders == ("h1", "h2")
    older = VERSION.replace(revision=1)
    assert candidates.apply_offer(candidate, older, "h3") == candidate
    newer = VERSION.replace(revision=3)
    assert candidates.apply_offer(candidate, newer, "h3").holders == ("h3",)


def test_parts_already_held_are_not_fetched():
    candidate = create_candidate()
    assert candidates.list_missing(candidate) == ("manifest",)
    held = candidates.adopt_manifest(candidate, MANIFEST, BODY, [b"2", b"9"])
    assert candidates.list_missing(held) == ("a",)


def test_only_the_declared_content_is_added():
    candidate = candidates.adopt_manifest(
        create_candidate(), MANIFEST, BODY, []
    )
    assert candidates.add_part(candidate, "a", b"2", 1.0) is None
    assert candidates.add_part(candidate, "c", b"1", 1.0) is None
    extended = candidates.add_part(candidate, "a", b"1", 1.0)
    assert candidates.list_missing(extended) == ("b",)
    assert candidates.is_waiting(extended.replace(source="h1"), 0.9)


def test_candidate_without_holders_is_given_up():
    candidate = create_candidate("h1", "h2").replace(source="h1")
    left = candidates.drop_source(candidate)
    assert left.holders == ("h2",)
    assert candidates.drop_source(left.replace(source="h2")) is None
