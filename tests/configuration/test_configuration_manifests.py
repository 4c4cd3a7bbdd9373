import hypothesis
from hypothesis import strategies as st
import pytest

from bramleyfork.configuration import manifests

KEYS = st.from_regex(r"[a-z0-9][a-z0-9_-]{0,20}", fullmatch=True).filter(
    lambda key: key != "manifest"
)
BODIES = st.dictionaries(KEYS, st.binary(max_size=50), min_size=1, max_size=5)


@hypothesis.given(BODIES, st.integers(1, manifests.MAX_REVISION))
def test_built_manifest_reads_back_and_fits_its_parts(bodies, revision):
    body = manifests.build_manifest(bodies, revision=revision)
    manifest = manifests.read_manifest(body).ok
    assert manifest.revision == revision
    assert manifest.digest == manifests.compute_digest(body)
    assert manifest.parts.keys() == bodies.keys()
    assert manifests.check_bodies(manifest, bodies) == ()


@hypothesis.given(BODIES, st.binary(max_size=50))
def test_any_changed_part_is_noticed(bodies, changed):
    body = manifests.build_manifest(bodies, revision=1)
    manifest = manifests.read_manifest(body).ok
    key = min(bodies)
    hypothesis.assume(bodies[key] != changed)
    assert manifests.check_bodies(manifest, bodies | {key: changed})
    assert manifests.check_bodies(manifest, bodies | {"zz-more": b""})
    assert manifests.check_bodies(manifest, {})


def create_manifest(revision="1", key='"a"', digest="0" * 64, size="1"):
    return (
        f"revision = {revision}\n[[parts]]\nkey = {key}\n"
        f'digest = "{digest}"\nsize = {size}\n'
    )


@pytest.mark.parametrize(
    ("text", "quoted"),
    [
        (create_manifest(revision="0"), "revision has the value 0"),
        (create_manifest(revision=str(2**63)), "revision"),
        (create_manifest(revision="1.5"), "1.5"),
        (create_manifest(key='"../a"'), "'../a'"),
        (create_manifest(key='"manifest"'), "'manifest'"),
        (create_manifest(digest="0"), "64 lower-case hexadecimal"),
        (create_manifest(size="1_000_001"), "0 to 1000000"),
        (create_manifest(size="-1"), "-1"),
        (
            create_manifest() + create_manifest()[13:],
            "keys that are unique among the parts",
        ),
        (create_manifest() + "sise = 1", "did you mean 'size'?"),
        ("revision = 1", "at least one [[parts]] table"),
        ("revision = 1\nparts = [7]", "parts[1].key is missing"),
        ("revision = [", "TOML"),
        ("#" * 1_000_001, "at most 1000000 bytes"),
    ],
)
def test_malformed_manifests_are_refused(text, quoted):
    problems = manifests.read_manifest(text.encode()).error
    assert quoted in "\n".join(problem.describe() for problem in problems)


def test_total_size_is_bounded():
    # Guards against a configuration that fills the memory of every host
    # although each part is within its own limit.
    lines = ["revision = 1"] + [
        create_manifest(key=f'"a{n}"', size="1000000")[13:] for n in range(17)
    ]
    (problem,) = manifests.read_manifest("\n".join(lines).encode()).error
    assert problem.value == 17_000_000


def test_folder_with_unusable_files_is_refused(tmp_path):
    (tmp_path / "Hosts.toml").write_text("")
    (tmp_path / "big.toml").write_bytes(b"#" * 1_000_001)
    (tmp_path / "notes.txt").write_text("ignored")
    problems = manifests.read_folder(tmp_path).error
    assert [problem.key for problem in problems] == ["file name", "size"]


def test_folder_manifest_names_its_files(tmp_path):
    (tmp_path / "hosts.toml").write_text("# none")
    parts = manifests.build_folder_manifest(tmp_path, revision=3).ok
    manifest = manifests.read_manifest(parts["manifest"]).ok
    assert (manifest.revision, list(manifest.parts)) == (3, ["hosts"])
