"""Test harness that runs one configuration controller step by step."""

import hashlib

from bramleyfork.configuration import manifests
from bramleyfork.configuration import settings
from bramleyfork.controllers import configuration
from bramleyfork.core import blackboard
from bramleyfork.core import messages
from bramleyfork.core import platform_calls
from bramleyfork.core import sections
from bramleyfork.transports import configuration_checker

FLEET = b"""
[deployment]
name = "test"
[[data_centres]]
name = "north"
region = "one"
"""
HOST = b"""
[[hosts]]
name = "h%d"
data_centre = "north"
peer_address = "127.0.1.%d:7000"
caller_address = "127.0.1.%d:8080"
"""


def create_bodies(*, revision=1, hosts=2, note=b""):
    parts = {
        "fleet": FLEET + b"# " + note,
        "hosts": b"".join(HOST % (n, n, n) for n in range(1, hosts + 1)),
    }
    body = manifests.build_manifest(parts, revision=revision)
    return parts | {"manifest": body}


def find_version(bodies):
    manifest = manifests.read_manifest(bodies["manifest"]).ok
    return manifest.revision, manifest.digest


class ConfigurationHarness:
    """A configuration controller with its own blackboard.

    The test writes the inputs and calls the steps at times that it chooses.
    """

    def __init__(self, name="h1", seeds=("127.0.1.2:7000",)):
        self.name = name
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.reads = self.board.find_log("platform_reads").open_cursor()
        self.sent_messages = self.board.find_log(
            "configuration_out"
        ).open_cursor()
        grant = self.board.grant_writer
        self.results = grant("platform_results", "platform_transport")
        self.control = grant("peer_control", "peer_transport")
        self.members = grant("members", "membership")
        self.orders = self.board.find_log("checks").open_cursor()
        self.checked = grant("check_results", "checker")
        self.checks_at_once = True
        ip = f"127.0.1.{name[1:]}"
        self.controller = configuration.ConfigurationController(
            board=self.board,
            settings=settings.Settings(
                deployment="test",
                host=name,
                data_centre="north",
                incarnation=1,
                peer_address=f"{ip}:7000",
                caller_address=f"{ip}:8080",
                administration_address=f"{ip}:8081",
                platform_address="127.0.0.1:9000",
                seeds=seeds,
            ),
        )
        self.table = self.board.find_table("declaration")

    def step(self, now):
        due = self.controller.step(now)
        return (self.check(now) if self.checks_at_once else None) or due

    def check(self, now):
        """Runs the ordered checks and a step after each.

        Returns:
          When the next step is due, or None if no check was ordered.
        """
        due = None
        for order in self.orders.read_new_records():
            self.checked.append(configuration_checker.run_check(order, "test"))
            due = self.controller.step(now)
        return due

    def answer(self, read, now, *, status=200, body=b"", error=""):
        etag = hashlib.sha256(body).hexdigest() if body else ""
        self.results.append(
            platform_calls.PlatformResult(
                purpose=read.purpose,
                path=read.path,
                sent_at=now,
                received_at=now,
                status=status,
                etag=etag,
                body=body,
                error=error,
            )
        )

    def serve(self, bodies, now):
        """Answers the ordered reads from ``bodies`` and runs one step."""
        for read in self.reads.read_new_records():
            key = read.path.partition("?")[0].rpartition("/")[2]
            body = bodies.get(key, b"")
            unchanged = f"after={hashlib.sha256(body).hexdigest()}" in read.path
            status = 304 if unchanged else 200 if body else 404
            self.answer(read, now, status=status, body=body)
        return self.step(now)

    def receive(self, sender, message, now):
        self.control.append(
            messages.Received(sender=sender, received_at=now, message=message)
        )

    def read_version(self):
        active = self.table.get("in_force")
        if active is None:
            return 0, ""
        return active.declaration.revision, active.declaration.digest


def start_harness(bodies, name="h1"):
    """Returns a harness in which ``bodies`` are active since time 0."""
    harness = ConfigurationHarness(name=name, seeds=())
    harness.step(0.0)
    for _ in range(3):
        harness.serve(bodies, 0.0)
    assert harness.read_version() == find_version(bodies)
    harness.sent_messages.read_new_records()
    return harness
