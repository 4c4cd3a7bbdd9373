"""Keeps a request to reload the settings from ending a process that starts.

SIGHUP ends a process that has not set a handler, and importing a program takes
some tenths of a second. Programs therefore call ``ignore_reload`` before their
other imports.
"""

import signal


def ignore_reload() -> None:
    """Ignores SIGHUP until the program sets a handler of its own."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
