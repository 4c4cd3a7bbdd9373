"""The command that checks the files of a standalone entry host."""

from bramleyfork.commands import registry
from bramleyfork.commands import reports
from bramleyfork.standalone import declaration
from bramleyfork.standalone import settings


@registry.COMMANDS.register("check-entry")
def check_entry(
    arguments: list[str], options: registry.CommandOptions
) -> registry.CommandResult:
    """Checks an entry host's settings and declaration: check-entry FILE."""
    del options
    if len(arguments) != 1:
        return reports.report_usage("check-entry FILE", arguments)
    (path,) = arguments
    loaded = settings.load_settings(path)
    if loaded.is_error():
        return reports.report_problems(
            loaded.error, f"{path}: settings refused"
        )
    declared = declaration.load_declaration(loaded.ok.declaration_file)
    if declared.is_error():
        return reports.report_problems(
            declared.error,
            f"{loaded.ok.declaration_file}: declaration refused",
        )
    subjects = [change.subject for change in declared.ok.changes]
    return registry.CommandResult(
        exit_code=registry.EXIT_OK,
        rows=[
            {
                "host": loaded.ok.host,
                "revision": declared.ok.revision,
                "targets": subjects.count("target"),
                "evacuated": subjects.count("evacuation"),
            }
        ],
        message=f"{path}: accepted",
    )
