"""Guards against a fleet that is ready but gives incomplete answers."""

import pytest_bdd

pytest_bdd.scenarios("first.feature")
