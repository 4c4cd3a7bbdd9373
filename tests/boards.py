"""Blackboard, settings and declaration of a daemon, for controller tests."""

from bramleyfork.configuration import settings
from bramleyfork.core import blackboard
from bramleyfork.core import declarations
from bramleyfork.core import sections


class DaemonBoardHarness:
    """A daemon's blackboard, any section of which the test can write."""

    def __init__(self):
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self._writers = {}

    def _get_writer(self, section):
        if section not in self._writers:
            writer = self.board.find_section(section).writer
            self._writers[section] = self.board.grant_writer(section, writer)
        return self._writers[section]

    def put(self, section, key, record):
        self._get_writer(section).put(key, record)

    def remove(self, section, key):
        self._get_writer(section).remove(key)

    def append(self, section, record):
        self._get_writer(section).append(record)

    def get(self, section, key="current"):
        return self.board.find_table(section).get(key)


def create_settings(**changes):
    fields = {
        "deployment": "test",
        "host": "bilbao-1",
        "data_centre": "bilbao",
        "incarnation": 7,
        "peer_address": "127.0.0.1:0",
        "caller_address": "127.0.0.1:0",
        "administration_address": "127.0.0.1:0",
        "platform_address": "127.0.0.1:1",
        "caller_threads": 4,
    }
    return settings.Settings(**(fields | changes))


def create_four_centre_declaration(out=(), **changes):
    names = ("bilbao", "zaragoza", "oviedo", "lisboa")
    hosts = [
        declarations.Host(
            name=f"{name}-{number}",
            data_centre=name,
            peer_address=f"127.0.{row}.{number}:7000",
            caller_address=f"127.0.{row}.{number}:8080",
        )
        for row, name in enumerate(names, start=1)
        for number in (1, 2)
    ]
    targets = [
        declarations.Target(
            name=f"{name}-t",
            service="booking-01",
            data_centre=name,
            address=f"127.0.9.{row}:9000",
            out=f"{name}-t" in changes.get("targets_out", ()),
        )
        for row, name in enumerate(names, start=1)
    ]
    return declarations.Declaration(
        deployment="test",
        revision=changes.get("revision", 3),
        digest="d3",
        placement_lifetime_s=5.0,
        longest_deadline_s=changes.get("longest_deadline_s", 2.0),
        strategy="owner",
        replica_policy="two_choices",
        hedge_percentile=95,
        hedge_budget=0.05,
        retry_budget=0.1,
        data_centres={
            name: declarations.DataCentre(
                name=name,
                region="south" if name == "lisboa" else "north",
                out=name in out,
            )
            for name in names
        },
        hosts={host.name: host for host in hosts},
        services={},
        targets={target.name: target for target in targets},
        lookups={},
    )


def create_active_declaration(**changes):
    return declarations.ActiveDeclaration(
        declaration=create_four_centre_declaration(**changes),
        bodies={},
        in_force_at=1000.0,
        source="platform",
    )
