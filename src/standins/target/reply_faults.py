"""Faults in replies: each function returns an altered copy of a reply."""

import json

from standins.target import extension_points
from standins.target import messages


@extension_points.REPLY_FAULTS.register("wrong_attempt_id")
def change_attempt_id(reply: messages.Reply) -> messages.Reply:
    """Replaces the attempt id in header and body by another one."""
    wrong = "other-" + reply.headers["Attempt-Id"]
    document = json.loads(reply.body)
    if "attempt_id" in document:
        document["attempt_id"] = wrong
    return reply.replace(
        headers={**reply.headers, "Attempt-Id": wrong},
        body=json.dumps(document),
    )


@extension_points.REPLY_FAULTS.register("cut_reply")
def cut_body(reply: messages.Reply) -> messages.Reply:
    """Makes the reply end after half of its body."""
    return reply.replace(cut=True)


class ReplyFaultInjector:
    """Applies the configured faults, some to a limited number of replies."""

    __slots__ = ("_faults", "_remaining")

    def __init__(self):
        self._faults: dict | None = None
        self._remaining: dict[str, int] = {}

    def apply_faults(
        self, reply: messages.Reply, faults: dict
    ) -> messages.Reply:
        """Returns a copy of the reply with the configured faults.

        Args:
          reply: The reply.
          faults: The body of the latest control call "faults". A fault with
            the value True applies to every reply; with a number, to that many
            replies after the call.
        """
        if faults is not self._faults:
            self._faults = faults
            self._remaining = {
                name: int(faults[name])
                for name, _ in extension_points.REPLY_FAULTS.list_items()
            }
        for name, change in extension_points.REPLY_FAULTS.list_items():
            if faults[name] is not True:
                if self._remaining[name] <= 0:
                    continue
                self._remaining[name] -= 1
            reply = change(reply)
        return reply
