"""Validation of fetched configurations in a separate thread.

Checking a large configuration takes seconds. On the control loop it would
delay the answers to heartbeats, which are due within 200 ms.
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

_WAKE_INTERVAL_S = 0.5  # Longest time until an idle thread notices a stop.


@transports.register("checker")
class ConfigurationChecker(transports.Transport):
    """Executes the orders in the section "checks".

    Each result, a declaration or a list of problems, is written to
    "check_results".
    """

    def __init__(self, **arguments):
        super().__init__(**arguments)
        # The cursor is opened before the start, so that earlier orders are
        # read as well.
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
        """Signals the thread to end, without waiting for a running check."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            order = self._orders.wait_for_record(_WAKE_INTERVAL_S)
            if order is not None:
                self._results.append(run_check(order, self.settings.deployment))


def run_check(order: checks.CheckOrder, deployment: str) -> checks.CheckResult:
    """Checks a configuration.

    Args:
      order: The configuration to check.
      deployment: Name of the deployment that it must be for.

    Returns:
      The declaration, or the problems found. An unexpected exception is
      reported as a problem.
    """
    try:
        checked = declaration.check_for_deployment(order.bodies, deployment)
    except Exception as error:
        # Without a result, the controller would wait forever.
        _LOG.exception(
            "configuration check raised an exception",
            extra={"digest": order.digest},
        )
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
        advice="report this as a bug of the check; the log has the traceback",
    )
