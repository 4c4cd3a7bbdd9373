"""Runs one component on a real event loop; the test writes its input."""

import asyncio
import contextlib

from bramleyfork.entry import runner
from tests.entry import boards


@contextlib.asynccontextmanager
async def run_component(component_class, context):
    """Yields a harness whose component is stepped by a runner."""
    loop = asyncio.get_running_loop()
    harness = boards.ComponentHarness(
        component_class, context=context, now=loop.time()
    )
    await harness.component.open()
    runner.Runner(
        board=harness.board, ordered_components=[harness.component], loop=loop
    ).start()
    try:
        yield harness
    finally:
        harness.component.close()


async def wait_for(check, limit_s=3.0):
    """Waits until ``check`` returns a true value, and returns that value.

    Raises:
      AssertionError: ``limit_s`` seconds have passed without one.
    """
    end = asyncio.get_running_loop().time() + limit_s
    while True:
        found = check()
        if found:
            return found
        assert asyncio.get_running_loop().time() < end, (
            "condition was not met in time"
        )
        await asyncio.sleep(0.005)
