"""Plays requests that crash targets against a fleet of host processes."""

import asyncio
import time

import pytest

from tests.standalone import files
from tests.standalone import fleets

# A host is in force with what others have learnt after this time.
LEARNING_S = 2.0
ALLOWED_REPEATS = 3
INTERVAL_S = 0.4
PLAY_S = 6.0
OTHER_INTERVAL_S = 0.04
LEAST_SERVED = 0.9

SINGLE = files.drop(files.ROUTE, "shards", "record_limit") | {
    "services": ["s1"],
    "attempts": 2,
}
GATHER = files.ROUTE | {
    "shards": ["s1", "s2", "s3", "s4"],
    "least_share": 0.5,
    "attempts": 2,
}


def create_targets(services, count, data_centre="north", last_bytes=b""):
    return [
        fleets.Target(
            name=f"{service}{letter}",
            service=service,
            data_centre=data_centre,
            last_bytes=last_bytes,
        )
        for service in services
        for letter in "abcdefgh"[:count]
    ]


def create_shards(last_bytes, data_centre="north"):
    """Returns the targets of four shards; the request ends those of the last.

    The targets of the other shards answer it.
    """
    return [
        *create_targets(["s1", "s2", "s3"], 2, data_centre, None),
        *create_targets(["s4"], 2, data_centre, last_bytes),
    ]


HALF_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: "
WHOLE_HEAD = b"HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 64\r\n\r\n"


async def send_crashing(fleet, end):
    number = 0
    while time.monotonic() < end:
        port = fleet.caller_ports[number % len(fleet.caller_ports)]
        asyncio.get_running_loop().create_task(
            fleets.send(port, fleets.CRASHING_PATH, f"crash-{number}")
        )
        number += 1
        await asyncio.sleep(INTERVAL_S)


async def send_others(fleet, end):
    tasks = []
    while time.monotonic() < end:
        number = len(tasks)
        port = fleet.caller_ports[number % len(fleet.caller_ports)]
        tasks.append(
            asyncio.get_running_loop().create_task(
                fleets.send(port, f"/find/{number}", f"other-{number}")
            )
        )
        await asyncio.sleep(OTHER_INTERVAL_S)
    statuses = [status for status, _ in await asyncio.gather(*tasks)]
    return statuses.count(200) / len(statuses)


async def play(folder, *, targets, route, data_centres):
    async with fleets.run_fleet(
        folder, targets=targets, route=route, data_centres=data_centres
    ) as fleet:
        await asyncio.sleep(1.0)
        end = time.monotonic() + PLAY_S
        served, _ = await asyncio.gather(
            send_others(fleet, end), send_crashing(fleet, end)
        )
        ends = fleet.list_ends()
        known_at = ends[2] + LEARNING_S
        late = [
            at
            for at in fleet.list_arrivals(fleets.CRASHING_PATH)
            if at > known_at
        ]
        return len(late), served, len(ends)


CASES = {
    "one host": (SINGLE, create_targets(["s1"], 8), ["north"]),
    "three hosts": (SINGLE, create_targets(["s1"], 8), ["north"] * 3),
    "gather": (
        GATHER,
        create_targets(["s1", "s2", "s3", "s4"], 2),
        ["north"] * 3,
    ),
    "carried gather": (
        GATHER,
        create_targets(["s1", "s2", "s3", "s4"], 2, "south"),
        ["north", "north", "south"],
    ),
    "one shard": (GATHER, create_shards(b""), ["north"] * 3),
    "one shard, half of the head": (
        GATHER,
        create_shards(HALF_HEAD),
        ["north"] * 3,
    ),
    "one shard, the head": (GATHER, create_shards(WHOLE_HEAD), ["north"] * 3),
    "one shard, half of the head, carried": (
        GATHER,
        create_shards(HALF_HEAD, "south"),
        ["north", "north", "south"],
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_a_request_that_crashes_targets_is_not_repeated(tmp_path, case):
    # Guards against a repeated request that ends target after target.
    route, targets, data_centres = CASES[case]
    late, served, ends = asyncio.run(
        play(tmp_path, route=route, targets=targets, data_centres=data_centres)
    )
    assert late <= ALLOWED_REPEATS, (late, served, ends)
    assert served >= LEAST_SERVED, (late, served, ends)
