"""Commands that check and prepare configurations without a network."""

import os
import pathlib
import re

from bramleyfork.commands import registry
from bramleyfork.commands import reports
from bramleyfork.configuration import declaration
from bramleyfork.configuration import manifests
from bramleyfork.configuration import settings
from bramleyfork.core import declarations


@registry.COMMANDS.register("check")
def check_path(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Checks the folder of a declaration or a settings file: check PATH."""
    if len(arguments) != 1:
        return reports.report_usage("check PATH", arguments)
    path = pathlib.Path(arguments[0])
    if path.is_dir():
        return _check_folder(path)
    loaded = settings.load_settings(path)
    if loaded.is_error():
        return reports.report_problems(
            loaded.error, f"{path}: settings refused"
        )
    rows = [
        {"key": option.key, "value": getattr(loaded.ok, option.key)}
        for option in settings.OPTIONS
    ]
    return registry.CommandResult(
        exit_code=registry.EXIT_OK,
        rows=rows,
        message=f"{path}: settings accepted",
    )


@registry.COMMANDS.register("publish-manifest")
def publish_manifest(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Writes manifest.toml for a folder: publish-manifest PATH [REVISION].

    Without REVISION the one of the present manifest is raised by 1. Nothing is
    written when the parts are as the manifest says, or when the declaration is
    refused.
    """
    usage = "publish-manifest PATH [REVISION]"
    if len(arguments) not in (1, 2):
        return reports.report_usage(usage, arguments)
    if not re.fullmatch("[1-9][0-9]{0,18}", (arguments[1:] or ["1"])[0]):
        return reports.report_usage(usage, arguments)
    folder = pathlib.Path(arguments[0])
    if not folder.is_dir():
        return reports.report_usage(usage, arguments)
    read = manifests.read_folder(folder)
    if read.is_error():
        return reports.report_problems(read.error, f"{folder}: nothing written")
    revision = _choose_revision(read.ok, arguments[1:])
    if revision is None:
        return registry.CommandResult(
            exit_code=registry.EXIT_OK,
            rows=[],
            message=f"{folder}: the manifest is up to date; nothing written",
        )
    body = manifests.build_manifest(read.ok, revision=revision)
    checked = declaration.check_declaration(
        read.ok | {manifests.MANIFEST_KEY: body}
    )
    if checked.is_error():
        return reports.report_problems(
            checked.error, f"{folder}: nothing written"
        )
    _write_whole(folder / manifests.MANIFEST_FILE, body)
    return registry.CommandResult(
        exit_code=registry.EXIT_OK,
        rows=[_summarise(checked.ok)],
        message=f"{folder}: wrote {manifests.MANIFEST_FILE}",
    )


def _check_folder(folder: pathlib.Path) -> registry.CommandResult:
    read = manifests.read_folder(folder)
    checked = read.bind(declaration.check_declaration)
    if checked.is_error():
        return reports.report_problems(
            checked.error, f"{folder}: declaration refused"
        )
    return registry.CommandResult(
        exit_code=registry.EXIT_OK,
        rows=[_summarise(checked.ok)],
        message=f"{folder}: declaration accepted",
    )


def _choose_revision(
    bodies: dict[str, bytes], arguments: list[str]
) -> int | None:
    """Returns the revision to write, or None when nothing has changed."""
    if arguments:
        return int(arguments[0])
    present = bodies.get(manifests.MANIFEST_KEY)
    if present is None:
        return 1
    read = manifests.read_manifest(present)
    if read.is_error():
        return 1
    if not manifests.check_bodies(read.ok, bodies):
        return None
    return read.ok.revision + 1


def _write_whole(path: pathlib.Path, body: bytes) -> None:
    """Replaces a file so that no reader sees half of it."""
    draft = path.with_suffix(".toml.new")
    draft.write_bytes(body)
    os.replace(draft, path)


def _summarise(accepted: declarations.Declaration) -> dict:
    return {
        "deployment": accepted.deployment,
        "revision": accepted.revision,
        "digest": accepted.digest,
        "data_centres": len(accepted.data_centres),
        "hosts": len(accepted.hosts),
        "services": len(accepted.services),
        "targets": len(accepted.targets),
        "lookups": len(accepted.lookups),
    }
