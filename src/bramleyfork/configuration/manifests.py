"""Reads, checks and builds the manifest of a configuration.

The manifest names the revision of the configuration and the parts that it
consists of, with their sizes and digests.
"""

import collections.abc
import functools
import hashlib
import pathlib
import re
import tomllib
import typing

import expression

from bramleyfork.configuration import option_schemas
from bramleyfork.core import records

MANIFEST_KEY = "manifest"
MANIFEST_FILE = "manifest.toml"
MAX_PART_BYTES = 1_000_000  # The platform stores no larger values.
# Every host keeps the whole configuration in memory; its control functions may
# use 64 MB.
MAX_CONFIGURATION_BYTES = 16_000_000
MAX_REVISION = 2**63 - 1  # Largest integer of TOML and msgpack.

_KEY_RULE = (
    "a key of 1 to 64 lower-case letters, digits, '-' and '_' other than"
    " 'manifest'"
)
_KEY_PATTERN = re.compile(r"[a-z0-9][a-z0-9_-]{0,63}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


@option_schemas.VALIDATORS.register("part key")
def check_part_key(
    option: option_schemas.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts the platform key of a part."""
    if (
        isinstance(value, str)
        and _KEY_PATTERN.fullmatch(value)
        and value != MANIFEST_KEY
    ):
        return expression.Ok(value)
    return expression.Error(_KEY_RULE)


@option_schemas.VALIDATORS.register("digest")
def check_digest(
    option: option_schemas.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a SHA-256 in hexadecimal."""
    if isinstance(value, str) and _DIGEST_PATTERN.fullmatch(value):
        return expression.Ok(value)
    return expression.Error("a SHA-256 as 64 lower-case hexadecimal digits")


@option_schemas.VALIDATORS.register("parts")
def check_parts(
    option: option_schemas.Option, value: typing.Any
) -> expression.Result[typing.Any, str]:
    """Accepts a list that is not empty; ``_read_parts`` checks its entries."""
    if isinstance(value, list) and value:
        return expression.Ok(value)
    return expression.Error("at least one [[parts]] table")


MANIFEST_OPTIONS = (
    option_schemas.Option(
        key="revision",
        type="integer",
        low=1,
        high=MAX_REVISION,
        purpose="Number of the configuration; each publication raises it.",
    ),
    option_schemas.Option(
        key="parts",
        type="parts",
        purpose="The parts of the configuration.",
    ),
)
PART_OPTIONS = (
    option_schemas.Option(
        key="key",
        type="part key",
        purpose="Key of the part on the platform; its file is <key>.toml.",
    ),
    option_schemas.Option(
        key="digest", type="digest", purpose="SHA-256 of the part's bytes."
    ),
    option_schemas.Option(
        key="size",
        type="integer",
        unit="bytes",
        low=0,
        high=MAX_PART_BYTES,
        purpose="Length of the part.",
    ),
)


class Part(records.Record):
    """One part as listed in the manifest.

    Attributes:
      key: Key of the part on the platform.
      digest: SHA-256 of its bytes, hexadecimal.
      size: Its length, bytes.
    """

    __slots__ = ("key", "digest", "size")

    def __init__(self, *, key: str, digest: str, size: int):
        self.key = key
        self.digest = digest
        self.size = size


class Manifest(records.Record):
    """A checked manifest.

    Attributes:
      revision: Number given by the operators.
      digest: SHA-256 of the manifest's own bytes, hexadecimal.
      parts: The parts by key.
    """

    __slots__ = ("revision", "digest", "parts")

    def __init__(self, *, revision: int, digest: str, parts: dict[str, Part]):
        self.revision = revision
        self.digest = digest
        self.parts = parts


# Parts that a revision leaves unchanged keep their bytes object, so that up to
# 16 MB of them are hashed only once.
@functools.lru_cache(maxsize=64)
def compute_digest(body: bytes) -> str:
    """Returns the SHA-256 of ``body`` in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def read_file(
    path: str | pathlib.Path, allowed: str
) -> expression.Result[bytes, tuple[option_schemas.Problem, ...]]:
    """Reads a file.

    Args:
      path: Path of the file.
      allowed: What the path must name, for the problem if it can't be read.
    """
    try:
        return expression.Ok(pathlib.Path(path).read_bytes())
    except OSError as error:
        problem = option_schemas.Problem(
            file=str(path),
            key="content",
            value=None,
            allowed=allowed,
            advice=f"{error.strerror}; check the path",
        )
        return expression.Error((problem,))


def parse_toml(
    body: bytes, file: str
) -> expression.Result[
    dict[str, typing.Any], tuple[option_schemas.Problem, ...]
]:
    """Decodes TOML; ``file`` is the name of its source in a problem."""
    reason = None
    try:
        return expression.Ok(tomllib.loads(body.decode()))
    except RecursionError:
        reason = "tables and arrays are nested too deeply"
    except ValueError as error:  # Not UTF-8 or TOML, or a number too long.
        reason = str(error)
    problem = option_schemas.Problem(
        file=file,
        key="content",
        value=body[:40],
        allowed="TOML 1.0 in UTF-8",
        advice=reason,
    )
    return expression.Error((problem,))


def read_manifest(
    body: bytes,
) -> expression.Result[Manifest, tuple[option_schemas.Problem, ...]]:
    """Decodes and checks a manifest; returns it or the problems found."""
    if len(body) > MAX_PART_BYTES:
        problem = option_schemas.Problem(
            file=MANIFEST_FILE,
            key="size",
            value=len(body),
            allowed=f"at most {MAX_PART_BYTES} bytes",
        )
        return expression.Error((problem,))
    parsed = parse_toml(body, MANIFEST_FILE)
    if parsed.is_error():
        return expression.Error(parsed.error)
    checked = option_schemas.check_options(
        MANIFEST_OPTIONS, parsed.ok, file=MANIFEST_FILE
    )
    if checked.is_error():
        return expression.Error(checked.error)
    parts, problems = _read_parts(checked.ok["parts"])
    total_bytes = sum(part.size for part in parts.values())
    if total_bytes > MAX_CONFIGURATION_BYTES:
        problems.append(
            option_schemas.Problem(
                file=MANIFEST_FILE,
                key="parts.size",
                value=total_bytes,
                allowed=f"at most {MAX_CONFIGURATION_BYTES} bytes"
                " over all parts",
            )
        )
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(
        Manifest(
            revision=checked.ok["revision"],
            digest=compute_digest(body),
            parts=parts,
        )
    )


def _read_parts(
    rows: list[typing.Any],
) -> tuple[dict[str, Part], list[option_schemas.Problem]]:
    parts: dict[str, Part] = {}
    problems: list[option_schemas.Problem] = []
    for index, row in enumerate(rows, start=1):
        values = row if isinstance(row, dict) else {}
        result = option_schemas.check_options(
            PART_OPTIONS, values, file=MANIFEST_FILE, prefix=f"parts[{index}]."
        )
        if result.is_error():
            problems.extend(result.error)
            continue
        part = Part(**result.ok)
        if part.key in parts:
            problems.append(
                option_schemas.Problem(
                    file=MANIFEST_FILE,
                    key=f"parts[{index}].key",
                    value=part.key,
                    allowed="keys that are unique among the parts",
                )
            )
        parts[part.key] = part
    return parts, problems


def check_bodies(
    manifest: Manifest, bodies: collections.abc.Mapping[str, bytes]
) -> tuple[option_schemas.Problem, ...]:
    """Returns a problem for each part that is missing, changed or unlisted.

    Args:
      manifest: The checked manifest.
      bodies: Content of each part by key; may contain the manifest.
    """
    problems = []
    for key, part in manifest.parts.items():
        body = bodies.get(key)
        if body is None:
            problems.append(
                option_schemas.Problem(
                    file=f"{key}.toml",
                    key="content",
                    value=None,
                    allowed=f"the part that {MANIFEST_FILE} names",
                )
            )
        elif len(body) != part.size or compute_digest(body) != part.digest:
            problems.append(
                option_schemas.Problem(
                    file=f"{key}.toml",
                    key="content",
                    value=f"{len(body)} bytes, {compute_digest(body)}",
                    allowed=f"{part.size} bytes with SHA-256 {part.digest}",
                    advice="run publish-manifest after the last change",
                )
            )
    for key in sorted(set(bodies) - set(manifest.parts) - {MANIFEST_KEY}):
        allowed, advice = option_schemas.explain_unknown(key, manifest.parts)
        problems.append(
            option_schemas.Problem(
                file=f"{key}.toml",
                key="unknown part",
                value=key,
                allowed=allowed,
                advice=advice,
            )
        )
    return tuple(problems)


def read_folder(
    folder: pathlib.Path,
) -> expression.Result[dict[str, bytes], tuple[option_schemas.Problem, ...]]:
    """Reads the TOML files of a folder.

    Returns:
      Content by key, with the manifest if there is one, or a problem for each
      file that is too large or whose name is no valid key.
    """
    bodies: dict[str, bytes] = {}
    problems: list[option_schemas.Problem] = []
    for path in sorted(folder.glob("*.toml")):
        if (
            path.name != MANIFEST_FILE
            and not check_part_key(PART_OPTIONS[0], path.stem).is_ok()
        ):
            problems.append(
                option_schemas.Problem(
                    file=str(path),
                    key="file name",
                    value=path.name,
                    allowed=f"<key>.toml with {_KEY_RULE}",
                )
            )
            continue
        body = path.read_bytes()
        if len(body) > MAX_PART_BYTES:
            problems.append(
                option_schemas.Problem(
                    file=str(path),
                    key="size",
                    value=len(body),
                    allowed=f"at most {MAX_PART_BYTES} bytes",
                    advice="spread its tables over several files",
                )
            )
        bodies[path.stem] = body
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(bodies)


def build_manifest(
    bodies: collections.abc.Mapping[str, bytes], *, revision: int
) -> bytes:
    """Returns the manifest of the given parts as TOML.

    Args:
      bodies: Content of each part by key; a manifest among them is ignored.
      revision: Revision of the configuration.
    """
    lines = [f"revision = {revision}"]
    for key in sorted(set(bodies) - {MANIFEST_KEY}):
        body = bodies[key]
        lines += [
            "",
            "[[parts]]",
            f'key = "{key}"',
            f'digest = "{compute_digest(body)}"',
            f"size = {len(body)}",
        ]
    return ("\n".join(lines) + "\n").encode()


def build_folder_manifest(
    folder: pathlib.Path, *, revision: int
) -> expression.Result[dict[str, bytes], tuple[option_schemas.Problem, ...]]:
    """Reads a folder's parts; returns them by key, with a new manifest."""
    return read_folder(folder).map(
        lambda bodies: (
            bodies | {MANIFEST_KEY: build_manifest(bodies, revision=revision)}
        )
    )
