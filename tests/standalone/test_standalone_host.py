"""Runs the program ``bramleyfork-entry`` against stand-ins of targets."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import urllib.request

import pytest

from standins.entry import replicas as standins
from tests.crowds import programs
from tests.entry import ports
from tests.standalone import files
from tests.standalone import fleets

PROGRAM = (sys.executable, "-m", "bramleyfork.standalone.host")


def fetch(port, path, headers=()):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", headers=dict(headers)
    )
    with urllib.request.urlopen(request, timeout=3) as reply:
        return reply.headers, reply.read()


async def wait_until_ready(port):
    for _ in range(100):
        try:
            return await asyncio.to_thread(fetch, port, "/ready")
        except OSError:
            await asyncio.sleep(0.05)
    raise AssertionError("the host did not become ready within 5 s")


async def serve(tmp_path):
    targets = [
        standins.Replica(
            name=name, records=name.encode() * 16, headers=fleets.HEADERS
        )
        for name in ("s1a", "s2a")
    ]
    for target in targets:
        await target.open()
    declaration = files.DECLARATION | {
        "services": [files.SERVICE | {"name": n} for n in ("s1", "s2")],
        "routes": [files.ROUTE | {"shards": ["s1", "s2"]}],
        "targets": [
            files.TARGET
            | {
                "name": target.name,
                "service": target.name[:2],
                "address": f"127.0.0.1:{target.address[1]}",
            }
            for target in targets
        ],
    }
    (tmp_path / "declaration.toml").write_text(files.write_toml(declaration))
    found = ports.find_ports(4)
    keys = ("caller", "pages", "peer", "carrier")
    settings = files.SETTINGS | {
        f"{key}_address": f"127.0.0.1:{port}"
        for key, port in zip(keys, found, strict=True)
    }
    settings["declaration_file"] = str(tmp_path / "declaration.toml")
    (tmp_path / "host.toml").write_text(files.write_toml(settings))
    with open(tmp_path / "log", "wb") as log:
        host = subprocess.Popen(
            [*PROGRAM, f"--entry_settings={tmp_path / 'host.toml'}"],
            stdout=log,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )
    try:
        await wait_until_ready(found[1])
        _, body = await asyncio.to_thread(
            fetch, found[1], "/hosts?host=a.example&region=left"
        )
        assert json.loads(body)["hosts"] == [f"127.0.0.1:{found[0]}"]
        headers, body = await asyncio.to_thread(
            fetch,
            found[0],
            "/find/x",
            {"Host": "a.example", "Request-Id": "r1", "Deadline-Ms": "700"},
        )
        assert headers["Missing-Parts"] == "0"
        assert len(headers["Part-Stamps"].split(",")) == 2
        assert len(body) == 3 * 16
    finally:
        host.send_signal(signal.SIGTERM)
        ended = await asyncio.to_thread(host.wait, 10)
        for target in targets:
            await target.close()
    assert ended == 0
    return (tmp_path / "log").read_text()


def test_a_host_serves_from_files_until_sigterm(tmp_path):
    log = asyncio.run(serve(tmp_path))
    lines = [json.loads(line) for line in log.splitlines()]
    messages = [line["message"] for line in lines]
    assert "declaration accepted" in messages
    assert "request answered" in messages


def test_refused_settings_are_explained(tmp_path):
    path = tmp_path / "host.toml"
    path.write_text(files.write_toml(files.SETTINGS | {"cores": -1}))
    ended = subprocess.run(
        [*PROGRAM, f"--entry_settings={path}"],
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        timeout=20,
    )
    assert ended.returncode == 2
    assert "cores has the value -1" in ended.stderr


def has_loaded(process, library):
    with open(f"/proc/{process.pid}/maps", encoding="utf-8") as maps:
        return library in maps.read()


@pytest.mark.parametrize(
    ("name", "library"), [("entry", "httptools"), ("daemon", "msgpack")]
)
def test_a_reload_while_a_program_starts_does_not_end_it(
    tmp_path, name, library
):
    # Guards against SIGHUP that ends a process which is still being imported.
    async def work():
        async with programs.RUNNERS[name](
            tmp_path, is_awaited=False
        ) as started:
            process = started.process
            while not has_loaded(process, library):
                assert process.poll() is None
                await asyncio.sleep(0.001)
            process.send_signal(signal.SIGHUP)
            await started.wait_until_ready()
            process.send_signal(signal.SIGHUP)
            assert await started.ask() == 200

    asyncio.run(work())
