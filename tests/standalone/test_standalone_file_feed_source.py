import os

from bramleyfork.entry import feeds
from bramleyfork.standalone import file_feed_source
from bramleyfork.standalone import settings
from tests.entry import boards
from tests.entry import creators
from tests.standalone import files


def start(tmp_path, values=files.DECLARATION):
    path = tmp_path / "declaration.toml"
    host = tmp_path / "host.toml"
    host.write_text(
        files.write_toml(files.SETTINGS | {"declaration_file": str(path)})
    )
    if values is not None:
        replace(path, values)
    loaded = settings.load_settings(host).ok
    harness = boards.ComponentHarness(
        file_feed_source.FileFeedSource,
        context=creators.create_context(settings=loaded),
    )
    harness.path = path
    harness.step()
    return harness


def replace(path, values):
    """Writes a new file in the place of the old one, as operators should."""
    text = values if isinstance(values, str) else files.write_toml(values)
    fresh = path.with_suffix(".new")
    fresh.write_text(text)
    os.replace(fresh, path)


def read(harness, kind=feeds.LIST, **changes):
    fields = {"number": 1, "kind": kind, "limit_s": 2.0}
    harness.append("feed_reads", feeds.FeedRead(**(fields | changes)))
    harness.step()
    return harness.read_new_records("feed_results")


def list_names(result):
    return {(c.subject, c.name, c.is_removed) for c in result.changes}


def test_a_listing_holds_all_entries(tmp_path):
    (result,) = read(start(tmp_path))
    assert (result.status, result.revision) == (feeds.OK, 1)
    assert list_names(result) == {
        ("routes", "", False),
        ("target", "s1a", False),
    }


def test_a_watch_tells_what_changed_and_what_is_gone(tmp_path):
    harness = start(tmp_path)
    assert read(harness, feeds.WATCH, after_revision=1, wait_s=2.0) == []
    other = files.TARGET | {"name": "s1b"}
    changes = {"revision": 5, "targets": [other]}
    replace(harness.path, files.DECLARATION | changes)
    harness.step(0.3)
    (result,) = harness.read_new_records("feed_results")
    assert result.revision == 5
    assert list_names(result) == {
        ("routes", "", False),
        ("target", "s1a", True),
        ("target", "s1b", False),
    }
    (result,) = read(harness)
    assert ("target", "s1a", True) not in list_names(result)


def test_a_watch_without_news_ends_when_its_time_is_up(tmp_path):
    harness = start(tmp_path)
    assert read(harness, feeds.WATCH, after_revision=1, wait_s=1.0) == []
    harness.step(1.0)
    (result,) = harness.read_new_records("feed_results")
    assert (result.status, result.changes) == (feeds.OK, ())


def test_a_refused_file_changes_nothing(tmp_path):
    # Guards against a host that drops its targets on a half-written file.
    harness = start(tmp_path)
    for text in ("revision = ", "revision = 2\nroutes = 3", ""):
        replace(harness.path, text)
        harness.step(0.3)
        (result,) = read(harness)
        assert (result.revision, len(result.changes)) == (1, 2)
    harness.path.unlink()
    harness.step(0.3)
    assert len(read(harness)[0].changes) == 2


def test_an_older_revision_is_not_followed(tmp_path):
    harness = start(tmp_path, files.DECLARATION | {"revision": 3})
    changes = {"revision": 2, "targets": []}
    replace(harness.path, files.DECLARATION | changes)
    harness.step(0.3)
    (result,) = read(harness)
    assert (result.revision, len(result.changes)) == (3, 2)


def test_reads_fail_until_a_declaration_is_there(tmp_path):
    harness = start(tmp_path, None)
    assert read(harness)[0].status == feeds.LOST
    replace(harness.path, files.DECLARATION)
    harness.step(0.3)
    assert read(harness)[0].status == feeds.OK


def test_reads_of_other_hosts_feeds_are_left_alone(tmp_path):
    assert read(start(tmp_path), source=("127.0.0.9", 1)) == []


def test_a_revision_from_elsewhere_is_gone(tmp_path):
    (result,) = read(start(tmp_path), feeds.WATCH, after_revision=9)
    assert result.status == feeds.GONE
