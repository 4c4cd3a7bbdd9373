"""Guards against new requests to targets that are leaving."""

import time

import pytest_bdd

from tests.scenarios import fleet_promises

pytest_plugins = ["tests.scenarios.fleet_steps"]

pytest_bdd.scenarios("fleet_targets.feature")

parse = pytest_bdd.parsers.parse


def say_leaving(running, target):
    running.fleet.find_stand_in(target).control("leave", target=target)


def list_leaving(running, target):
    running.fleet.publish_listing(**{target: {"state": "leaving"}})


WORDS = {"its own word": say_leaving, "the list": list_leaving}


@pytest_bdd.when(parse('target "{target}" leaves by {word}'))
def leave(running, target, word):
    # The later check for no requests is only valid if there were some before.
    running.wait_until(
        lambda: fleet_promises.list_arrivals(running, [target], 0.0),
        f"work for {target}",
    )
    running.marks["left"] = time.time()
    WORDS[word](running, target)


@pytest_bdd.then(
    parse('target "{target}" gets no work {seconds:g} seconds after that')
)
def check_no_work(running, target, seconds):
    left = running.marks["left"]
    assert fleet_promises.list_arrivals(running, [target], 0.0, left)
    since = left + seconds
    time.sleep(max(0.0, since + fleet_promises.WATCHED_S - time.time()))
    assert fleet_promises.list_arrivals(running, [target], since) == []


@pytest_bdd.when(parse('target "{target}" returns by the list'))
def return_by_list(running, target):
    # A target's own report of leaving expires when the list first shows it as
    # leaving and then as live.
    list_leaving(running, target)
    running.wait_until(
        lambda: all(
            find_state(running, host, target) == "leaving"
            for host in running.fleet.daemons
        ),
        "leaving at every host",
    )
    # The watching hosts read the list once a second.
    time.sleep(2.0)
    running.fleet.find_stand_in(target).control("return", target=target)
    running.marks["returned"] = time.time()
    running.fleet.publish_listing()


def find_state(running, host, target):
    rows = running.fleet.administer(host, "/v1/targets")["targets"]
    return next(row["state"] for row in rows if row["target"] == target)


@pytest_bdd.then(
    parse('target "{target}" gets work again within {seconds:g} seconds')
)
def check_work(running, target, seconds):
    running.wait_until(
        lambda: fleet_promises.list_arrivals(
            running, [target], running.marks["returned"]
        ),
        f"work for {target}",
        seconds,
    )
