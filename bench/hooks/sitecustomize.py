"""Gives each thread its Python name in /proc.

``bench.hotpath`` puts this folder first on the daemons' PYTHONPATH when it
counts CPU per thread; Python 3.11 itself does not name its threads there.
"""

import pathlib
import threading


class _NamedThread(threading.Thread):
    def run(self) -> None:
        _name_thread(self.name)
        _RUN(self)


def _name_thread(name: str) -> None:
    path = pathlib.Path(f"/proc/self/task/{threading.get_native_id()}/comm")
    path.write_text(name[:15])


_RUN = threading.Thread.run
threading.Thread.run = _NamedThread.run
