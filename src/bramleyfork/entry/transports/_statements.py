"""Records what targets say about themselves in their answers."""

import typing

from bramleyfork.core import blackboard
from bramleyfork.entry import components
from bramleyfork.entry import declarations
from bramleyfork.entry.decisions import answers
from bramleyfork.entry.transports import http_responses


class StatementRecorder:
    """Reads the statements of answers and writes those that are news.

    Args:
      context: Settings and header names of the process.
      known: Observations by kind and subject.
      writer: Writer of a log of findings.
    """

    __slots__ = ("_host", "_known", "_writer", "_reader")

    def __init__(
        self,
        *,
        context: components.Context,
        known: blackboard.Table,
        writer: typing.Any,
    ):
        self._host = context.settings.host
        self._known = known
        self._writer = writer
        self._reader = answers.AnswerReader(header_names=context.header_names)

    def record(
        self,
        target: declarations.ListedTarget,
        response: http_responses.HttpResponse,
        *,
        sent_at: float,
        now: float,
        is_health_check: bool = False,
    ) -> answers.Statements:
        """Writes findings and returns the statements of an answer by kind.

        Args:
          target: The target that sent the answer.
          response: The answer.
          sent_at: Monotonic time in seconds at which its request was sent.
          now: Monotonic time in seconds.
          is_health_check: Whether it answers a health check, by which the
            target is healthy.
        """
        statements = self._reader.read(response.headers, response.status)
        if not statements and not len(self._known):
            return statements
        self._writer.extend(
            answers.build_findings(
                target,
                statements,
                lambda kind, subject: self._known.get((kind, subject)),
                host=self._host,
                sent_at=sent_at,
                now=now,
                is_health_check=is_health_check,
            )
        )
        return statements
