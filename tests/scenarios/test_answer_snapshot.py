"""Guards against answers that mix snapshots or read a key range twice.

Both can happen while targets change their index version or shard map.
"""

import time

import pytest_bdd

pytest_bdd.scenarios("answer_snapshot.feature")

FULL = (0, 65536)
# The ranges overlap, as they do while a shard split copies keys.
SPLIT = {"1": (0, 40960), "2": (24576, 65536)}
PAUSE_S = 0.06  # Between two targets; several queries run meanwhile.


def hold(running, target, rows):
    """Sets the holdings of a target."""
    running.marks.setdefault("held", {})[target] = rows
    stand_in = running.fleet.find_stand_in(target)
    stand_in.control("holdings", target=target, holdings=rows)


def list_held(running, target):
    """Returns the holdings of a target."""
    return running.marks.get("held", {}).get(target, [[1, 1, *FULL]])


def read_snapshot(text):
    """Returns index and map version of a text such as "2/1"."""
    return [int(part) for part in text.split("/")]


@pytest_bdd.when(
    pytest_bdd.parsers.re(
        r"every target in turn takes (?P<new>\d+/\d+) beside \d+/\d+"
        r'(, with "(?P<split>[\w-]+)" split)?$'
    )
)
def take_snapshot(running, new, split):
    for name, target in running.fleet.declaration.targets.items():
        low, high = FULL
        if target.service == split:
            low, high = SPLIT[name.rpartition("-")[2]]
        row = [*read_snapshot(new), low, high]
        hold(running, name, [*list_held(running, name), row])
        time.sleep(PAUSE_S)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("every target in turn gives up {old}")
)
def give_up_snapshot(running, old):
    for name in running.fleet.declaration.targets:
        rows = list_held(running, name)
        hold(
            running,
            name,
            [row for row in rows if row[:2] != read_snapshot(old)],
        )
        time.sleep(PAUSE_S)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "all targets at once take {new} in place of what they hold"
    )
)
def replace_snapshot(running, new):
    for name in running.fleet.declaration.targets:
        hold(running, name, [[*read_snapshot(new), *FULL]])


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "the list names {new} beside {old} for all targets"
    )
)
def list_snapshot(running, new, old):
    rows = [[*read_snapshot(text), *FULL] for text in (old, new)]
    names = running.fleet.declaration.targets
    changes = {name: {"holdings": rows} for name in names}
    running.fleet.publish_listing(**changes)

    def is_tried():
        return any(
            attempt["outcome"] == "wrong_snapshot"
            for journal in running.fleet.read_journals().values()
            for attempt in journal["attempts"]
        )

    running.wait_until(is_tried, "an attempt at the listed snapshot")


@pytest_bdd.then(
    pytest_bdd.parsers.re(
        r"the callers are answered from (?P<snapshot>\d+/\d+)( again)?$"
    )
)
def check_snapshot(running, snapshot):
    wanted = read_snapshot(snapshot)
    after = len(running.load.rows)

    def count_whole():
        rows = running.load.rows[after:]
        return sum(
            answer["code"] == "ok" and answer["snapshot"] == wanted
            for _, answer in rows
        )

    running.wait_until(lambda: count_whole() >= 20, f"answers from {snapshot}")


@pytest_bdd.then("every answer so far is complete")
def check_complete_so_far(running):
    partial = [a for _, a in running.load.rows if a["code"] != "ok"]
    assert [(a["code"], a["snapshot"], a["missing"]) for a in partial] == []


@pytest_bdd.then("some query was restarted")
def check_restarts(running):
    messages = [
        entry.get("message", "")
        for daemon in running.fleet.daemons.values()
        for entry in daemon.read_log()
    ]
    assert "query restarted on a newer snapshot" in messages
