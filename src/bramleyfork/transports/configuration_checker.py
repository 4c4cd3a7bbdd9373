"""Checks fetched configurations in a thread of its own.

A check of a large configuration takes seconds. On the control loop it would
hold up heartbeats, which are to be answered within 200 ms.
"""

import logging
import threading

import expression

from bramleyfork.configuration import declaration
from bramleyfork.configuration import manifests
from bramleyfork.configuration import option_schemas
from bramleyfork.core import checks
from bramleyfork.core import transports

_LOG = logging.getLogger(__name__)

_WAKE_INTERVAL_S = 0.5  # How soon the idle thread notices that it must end.


@transports.register("checker")
class ConfigurationChecker(transports.Transport):
    """Turns the bytes of configurations into declarations or refusals."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        # Opened here, so that orders from before the start are not lost.
        self._orders = self.board.find_log("checks").open_cursor()
        self._results = self.board.grant_writer("check_results", self.name)
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=self.name, daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread; a check under way is left behind."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            order = self._orders.wait_for_record(_WAKE_INTERVAL_S)
            if order is not None:
                self._results.append(run_check(order, self.settings.deployment))


def run_check(order: checks.CheckOrder, deployment: str) -> checks.CheckResult:
    """Returns what the check of an order found.

    Args:
      order: The configuration.
      deployment: The deployment that it must be for.
    """
    try:
        checked = declaration.check_for_deployment(order.bodies, deployment)
    except Exception as error:
        # Without a result the controller would wait for ever.
        _LOG.exception("check failed", extra={"digest": order.digest})
        checked = expression.Error((_build_internal_error(error),))
    if checked.is_ok():
        return checks.CheckResult(digest=order.digest, declaration=checked.ok)
    return checks.CheckResult(
        digest=order.digest, declaration=None, problems=tuple(checked.error)
    )


def _build_internal_error(error: Exception) -> option_schemas.Problem:
    return option_schemas.Problem(
        file=manifests.MANIFEST_FILE,
        key="content",
        value=f"{type(error).__name__}: {error}",
        allowed="a configuration that the check can read",
        advice="report this fault of the check; see the log",
    )
