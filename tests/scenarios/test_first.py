import pytest_bdd

pytest_bdd.scenarios("first.feature")
