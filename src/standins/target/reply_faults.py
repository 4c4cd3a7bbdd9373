"""Reply faults: each function returns a spoiled copy of a reply."""

import json

from standins.target import extension_points
from standins.target import messages


@extension_points.REPLY_FAULTS.register("wrong_attempt_id")
def change_attempt_id(reply: messages.Reply) -> messages.Reply:
    """Answers with the id of another attempt in header and body."""
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
    """Marks a reply to be ended after half of its body."""
    return reply.replace(cut=True)


class ReplyFaultInjector:
    """Applies the reply faults that are set, counting limited ones down."""

    __slots__ = ("_faults", "_remaining")

    def __init__(self):
        self._faults: dict | None = None
        self._remaining: dict[str, int] = {}

    def apply_faults(
        self, reply: messages.Reply, faults: dict
    ) -> messages.Reply:
        """Returns the reply after the faults in ``faults``.

        A value of True spoils every reply; a number spoils as many replies,
        counted anew when the faults are replaced.
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
