"""The program ``bramleyfork-entry``: an entry host configured by files."""

import sys

from bramleyfork.core import reload_signals

reload_signals.ignore_reload()

from absl import app  # noqa: E402
from absl import flags  # noqa: E402

from bramleyfork.entry import http_headers  # noqa: E402
from bramleyfork.entry import process  # noqa: E402
from bramleyfork.standalone import directory_server  # noqa: E402, F401
from bramleyfork.standalone import file_feed_source  # noqa: E402, F401
from bramleyfork.standalone import settings  # noqa: E402

_SETTINGS = flags.DEFINE_string(
    "entry_settings", None, "TOML file with the settings of this host."
)

_EXIT_OK = 0
_EXIT_INVALID_SETTINGS = 2


def main(argv: list[str]) -> int:
    """Runs a host until SIGTERM or SIGINT.

    Returns:
      The exit code: 0 after a regular end, 2 if the settings are missing or
      invalid.
    """
    del argv
    if _SETTINGS.value is None:
        _print_error("--entry_settings FILE is required")
        return _EXIT_INVALID_SETTINGS
    loaded = settings.load_settings(_SETTINGS.value)
    if loaded.is_error():
        for problem in loaded.error:
            _print_error(problem.describe())
        return _EXIT_INVALID_SETTINGS
    process.run(settings=loaded.ok, header_names=http_headers.HeaderNames())
    return _EXIT_OK


def _print_error(text: str) -> None:
    print(f"bramleyfork-entry: {text}", file=sys.stderr)  # noqa: T201


def run() -> None:
    """Entry point of the installed program."""
    app.run(main)


if __name__ == "__main__":
    run()
