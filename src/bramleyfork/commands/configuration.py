"""Commands that check configuration files and write manifests, offline."""

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
    """Checks a declaration's folder or a settings file: check PATH."""
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

    Without REVISION, the revision of the current manifest is raised by 1, or
    nothing is written if the parts match this manifest. A declaration that is
    refused gets no manifest.
    """
    usage = "publish-manifest PATH [REVISION]"
    if len(arguments) not in (1, 2):
        return reports.report_usage(usage, arguments)
    if not re.fullmatch("[1-9][0-9]{0,18}", (arguments[1:] or ["1"])[0]):
        return reports.report_usage(usage, arguments)
    folder = pathlib.Path(arguments[0])
    if not folder.is_dir():
        return reports.report_usage(usage, arguments)
    result = manifests.read_folder(folder)
    if result.is_error():
        return reports.report_problems(
            result.error, f"{folder}: nothing written"
        )
    revision = _choose_revision(result.ok, arguments[1:])
    if revision is None:
        return registry.CommandResult(
            exit_code=registry.EXIT_OK,
            rows=[],
            message=f"{folder}: the manifest is up to date; nothing written",
        )
    body = manifests.build_manifest(result.ok, revision=revision)
    checked = declaration.check_declaration(
        result.ok | {manifests.MANIFEST_KEY: body}
    )
    if checked.is_error():
        return reports.report_problems(
            checked.error, f"{folder}: nothing written"
        )
    _replace_file(folder / manifests.MANIFEST_FILE, body)
    return registry.CommandResult(
        exit_code=registry.EXIT_OK,
        rows=[_summarise(checked.ok)],
        message=f"{folder}: wrote {manifests.MANIFEST_FILE}",
    )


def _check_folder(folder: pathlib.Path) -> registry.CommandResult:
    result = manifests.read_folder(folder)
    checked = result.bind(declaration.check_declaration)
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
    """Returns the revision to write, or None if the parts are unchanged."""
    if arguments:
        return int(arguments[0])
    current_manifest = bodies.get(manifests.MANIFEST_KEY)
    if current_manifest is None:
        return 1
    result = manifests.read_manifest(current_manifest)
    if result.is_error():
        return 1
    if not manifests.check_bodies(result.ok, bodies):
        return None
    return result.ok.revision + 1


def _replace_file(path: pathlib.Path, body: bytes) -> None:
    """Replaces a file atomically, so that no reader sees a part of it."""
    temporary_path = path.with_suffix(".toml.new")
    temporary_path.write_bytes(body)
    os.replace(temporary_path, path)


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
