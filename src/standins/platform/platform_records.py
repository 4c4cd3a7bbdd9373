"""Sections, settings and records of the platform stand-in."""

import hashlib
import pathlib
import typing

from standins import records
from standins.platform import extension_points

SECTIONS = (
    ("commands", "log", "http"),
    ("requests", "log", "http"),
    ("sets", "table", "publication"),
    ("values", "table", "publication"),
    ("outages", "table", "outages"),
    ("listing", "table", "listing"),
    ("calls", "table", "calls"),
)


class PlatformSettings(records.Record):
    """Settings of the platform.

    Attributes:
      address: address:port; for port 0 a free port is chosen.
      folder: Folder whose files are the first published values, with their
        relative paths as keys; empty for none.
      targets: Rows of /v1/targets at the start.
      answer_ms: Delay of each reply in milliseconds.
      history: Number of published sets that are kept, so that older ones can
        be served.
    """

    __slots__ = ("address", "folder", "targets", "answer_ms", "history")

    DEFAULTS: typing.ClassVar[dict[str, typing.Any]] = {
        "address": "127.0.0.1:0",
        "folder": "",
        "targets": [],
        "answer_ms": 0.0,
        "history": 100,
    }


class Value(records.Record):
    """A published value.

    Attributes:
      key: Key of the value.
      body: Content of the value.
      etag: SHA-256 of the content, hexadecimal.
    """

    __slots__ = ("key", "body", "etag")


class Command(records.Record):
    """A control call.

    Attributes:
      name: Name of the call.
      body: Its checked JSON body.
    """

    __slots__ = ("name", "body")


class Call(records.Record):
    """A read, watch or listing request, to be counted.

    Attributes:
      source: IP address of the client.
      kind: "values", "watch", "targets" or "other".
      second: Unix time of arrival, whole seconds.
    """

    __slots__ = ("source", "kind", "second")


def build_value(key: str, body: bytes) -> Value:
    """Returns a value with its ETag.

    Raises:
      ValueError: The value exceeds ``MAX_VALUE_BYTES``.
    """
    if len(body) > extension_points.MAX_VALUE_BYTES:
        raise ValueError(
            f"value {key!r} has {len(body)} bytes; the limit is"
            f" {extension_points.MAX_VALUE_BYTES}"
        )
    return Value(key=key, body=body, etag=hashlib.sha256(body).hexdigest())


def read_folder(folder: str) -> dict[str, Value]:
    """Returns the values of all files in a folder, by key.

    The result is empty if ``folder`` is empty.

    Raises:
      ValueError: The folder does not exist or a file is too large.
    """
    if not folder:
        return {}
    root = pathlib.Path(folder)
    if not root.is_dir():
        raise ValueError(f"folder {folder!r} does not exist")
    paths = sorted(path for path in root.rglob("*") if path.is_file())
    keys = [path.relative_to(root).as_posix() for path in paths]
    return {
        key: build_value(key, path.read_bytes())
        for key, path in zip(keys, paths, strict=True)
    }


def order_keys(keys: typing.Iterable[str]) -> list[str]:
    """Returns the keys in order of publication, with the manifest last."""
    return sorted(keys, key=lambda key: (key == extension_points.MANIFEST, key))
