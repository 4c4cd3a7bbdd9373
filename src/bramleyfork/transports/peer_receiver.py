"""Writes messages received from other hosts to the blackboard."""

import logging

from bramleyfork.codecs import frames
from bramleyfork.core import blackboard
from bramleyfork.core import messages
from bramleyfork.core import replies
from bramleyfork.core import requests
from bramleyfork.transports import peer_links

_LOG = logging.getLogger(__name__)


class PeerReceiver:
    """Writes received messages to one of three logs, by their kind.

    Sub-requests and sub-replies that are not between the sender and this host
    are dropped.

    Args:
      host: Name of this host.
      subrequests: Writer of peer_subrequests.
      subreplies: Writer of peer_subreplies.
      control: Writer of peer_control.
    """

    __slots__ = ("_host", "_subrequests", "_subreplies", "_control")

    def __init__(
        self,
        *,
        host: str,
        subrequests: blackboard.LogWriter,
        subreplies: blackboard.LogWriter,
        control: blackboard.LogWriter,
    ):
        self._host = host
        self._subrequests = subrequests
        self._subreplies = subreplies
        self._control = control

    def write_messages(
        self, link: peer_links.Link, batch: list[frames.Frame], now: float
    ) -> None:
        """Writes messages from one host.

        Args:
          link: Link to the sender.
          batch: The received messages.
          now: When they arrived, monotonic seconds.
        """
        subrequests, subreplies, control = [], [], []
        for frame in batch:
            message = frame.message
            if type(message) is replies.SubReply:
                if self._is_expected(
                    link, router=message.router, owner=message.owner
                ):
                    link.remove_unanswered(message.attempt_id)
                    subreplies.append(message)
            elif type(message) is requests.SubRequest:
                if self._is_expected(
                    link, router=message.owner, owner=message.router
                ):
                    subrequests.append(message)
            elif type(message) is requests.Cancel:
                if message.owner == self._host:
                    subrequests.append(message)
            else:
                control.append(
                    messages.Received(
                        sender=link.host, received_at=now, message=message
                    )
                )
        self._subrequests.extend(subrequests)
        self._subreplies.extend(subreplies)
        self._control.extend(control)

    def _is_expected(
        self, link: peer_links.Link, *, router: str, owner: str
    ) -> bool:
        if router == self._host and owner == link.host:
            return True
        _LOG.warning(
            "message for another pair of hosts ignored",
            extra={"peer": link.host, "named": [router, owner]},
        )
        return False
