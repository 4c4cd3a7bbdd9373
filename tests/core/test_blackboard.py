import pytest

from bramleyfork.core import blackboard
from bramleyfork.core import sections


def create_board():
    return blackboard.Blackboard(
        sections=[("members", "table", "membership"), ("queries", "log", "t")]
    )


def test_second_writer_is_refused():
    # Guards against two parts of a process changing one section.
    board = create_board()
    board.grant_writer("members", "membership")
    with pytest.raises(blackboard.SectionError, match="has its writer"):
        board.grant_writer("members", "membership")


def test_writer_other_than_defined_is_refused():
    board = create_board()
    with pytest.raises(blackboard.SectionError, match="'membership', not 'x'"):
        board.grant_writer("members", "x")


def test_each_cursor_sees_each_record_once():
    # Guards against one reader consuming the records of another.
    board = create_board()
    writer = board.grant_writer("queries", "t")
    first = board.find_log("queries").open_cursor()
    second = board.find_log("queries").open_cursor()
    writer.append(1)
    assert first.read_new_records() == [1]
    writer.extend([2, 3])
    assert first.read_new_records() == [2, 3]
    assert second.read_new_records() == [1, 2, 3]
    assert second.read_new_records() == []


def test_table_change_wakes_listeners():
    board = create_board()
    writer = board.grant_writer("members", "membership")
    woken = []
    board.find_table("members").add_listener(woken.append)
    writer.put("a", 1)
    writer.remove("a")
    writer.remove("a")
    assert woken == ["members", "members"]


def test_unknown_section_lists_valid_names():
    with pytest.raises(blackboard.SectionError, match="members, queries"):
        create_board().find_section("member")


def test_every_section_of_the_daemon_has_one_row():
    names = [name for name, _, _ in sections.SECTIONS]
    assert len(names) == len(set(names))
