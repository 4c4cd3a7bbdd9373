"""Threads of callers that record their results."""

import threading

_JOIN_S = 10.0
_LIMIT = 5000  # Most calls of all threads together.


class Callers:
    """Calls a function from several threads until stopped, at most _LIMIT.

    Args:
      ask: Called with the number of the thread and the number of its call.
      count: Number of threads.
      pause_s: Pause between two calls of one thread, seconds.

    Attributes:
      rows: Results of ``ask``.
      errors: Texts of the exceptions that ``ask`` raised.
    """

    def __init__(self, *, ask, count, pause_s):
        self.rows = []
        self.errors = []
        self._ask = ask
        self._pause_s = pause_s
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops the threads after their current call."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(_JOIN_S)

    def _run(self, number):
        turn = 0
        while not self._stopped.wait(self._pause_s):
            if len(self.rows) + len(self.errors) >= _LIMIT:
                return
            try:
                self.rows.append(self._ask(number, turn))
            except Exception as error:
                self.errors.append(repr(error))
            turn += 1
