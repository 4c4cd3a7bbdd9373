"""Test harness for one component of an entry host on a blackboard."""

from bramleyfork.core import blackboard
from bramleyfork.entry import sections
from tests.entry import creators


class ComponentHarness:
    """Runs one component; the test writes the sections of the others."""

    def __init__(self, component_class, *, context=None, now=1000.0):
        self.now = now
        self.board = blackboard.Blackboard(sections=sections.SECTIONS)
        self.context = context or creators.create_context()
        self._writers = {
            name: self.board.grant_writer(name, writer)
            for name, _, writer in sections.SECTIONS
            if writer != component_class.name
        }
        self._cursors = {
            name: self.board.find_log(name).open_cursor()
            for name, kind, _ in sections.SECTIONS
            if kind == "log"
        }
        self.component = component_class(board=self.board, context=self.context)
        self.due = None

    def append(self, section, *records):
        self._writers[section].extend(records)

    def put(self, section, key, record):
        self._writers[section].put(key, record)

    def remove(self, section, key):
        self._writers[section].remove(key)

    def step(self, seconds=0.0):
        """Advances the time and steps the component.

        Steps that the component asked for within this time are made too.
        Returns the time of its next step, or None.
        """
        end = self.now + seconds
        while self.due is not None and self.now < self.due <= end:
            self.now = self.due
            self.due = self.component.step(self.now)
        self.now = end
        self.due = self.component.step(self.now)
        return self.due

    def read_new_records(self, section):
        return self._cursors[section].read_new_records()

    def get(self, section, key="current"):
        return self.board.find_table(section).get(key)
