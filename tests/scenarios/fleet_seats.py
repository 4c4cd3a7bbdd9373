"""Callers that hold seats, and steps that check them against journals."""

import collections
import threading

import pytest_bdd

from tests.scenarios import fleet_promises

parse = pytest_bdd.parsers.parse

SEAT_LIMIT = 400


class SeatHolders:
    """Callers that hold one seat after another, each with a new ticket."""

    def __init__(self, world, host, count=4):
        self.world = world
        self.host = host
        self.rows = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(10.0)

    def _run(self, number):
        for turn in range(SEAT_LIMIT):
            if self._stopped.wait(0.02):
                return
            placed = self.world.fleet.place(self.host, tickets=1)
            if not placed.get("tickets"):
                continue
            seat = f"seat {number} {turn}"
            answer = self.world.fleet.query(
                self.host,
                "seat-hold",
                key=turn * 100 % 65536,
                parameters=seat,
                ticket=placed["tickets"][0],
            )
            self.rows.append((seat, answer))


@pytest_bdd.given(parse('callers that hold seats through host "{host}"'))
def start_seats(running, host):
    seats = SeatHolders(running, host)
    running.marks[fleet_promises.SEATS] = seats
    running.wait_until(lambda: len(seats.rows) >= 5, "five seats")


@pytest_bdd.then("every verdict on a seat agrees with the targets' journals")
def check_seats(running):
    seats = running.marks[fleet_promises.SEATS]
    seats.stop()
    counts = collections.Counter()
    for journal in running.fleet.read_journals().values():
        for row in journal["writes"]:
            counts[row["parameters"]] += row["count"]
    allowed = {"RAN": {1}, "NOT_RUN": {0}, "MAY_HAVE_RUN": {0, 1}}
    wrong = [
        (seat, answer["verdict"], answer["code"], counts[seat])
        for seat, answer in seats.rows
        if counts[seat] not in allowed[answer["verdict"]]
    ]
    assert wrong == []
    assert {answer["verdict"] for _, answer in seats.rows} >= {"RAN"}
