"""Member records of the membership controller and their dissemination.

Keeps the SWIM state of every declared host, writes it to the members section
and chooses the updates that are piggybacked on messages.
"""

import collections.abc
import logging
import math

from bramleyfork.core import blackboard
from bramleyfork.core import fleet
from bramleyfork.core import messages
from bramleyfork.decisions import membership
from bramleyfork.decisions import update_queue

_LOG = logging.getLogger(__name__)

# Smaller changes of this host's load, from 0 to 1, are not written, so that
# they do not wake the controllers that read the section.
_LOAD_STEP = 0.05


class MemberTable:
    """Records of the declared hosts and the queue of unsent updates.

    Args:
      host: Name of this host.
      incarnation: Incarnation of this process.
      table: The section ``members``.
      writer: Its writer.
    """

    __slots__ = (
        "_host",
        "_own",
        "_table",
        "_writer",
        "_declared",
        "_members",
        "_update_queue",
        "_suspects",
        "_absent",
    )

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        table: blackboard.Table,
        writer: blackboard.TableWriter,
    ):
        self._host = host
        self._own = fleet.Member(
            host=host,
            incarnation=incarnation,
            state="alive",
            changed_at=-math.inf,
            load=0.0,
            leased=False,
        )
        self._table = table
        self._writer = writer
        self._declared: frozenset[str] = frozenset()
        self._members: dict[str, fleet.Member] = {}
        self._update_queue = update_queue.UpdateQueue()
        self._suspects: set[str] = set()
        # Declared hosts that are dead or unknown, in round-robin order.
        self._absent: dict[str, None] = {}

    def is_reachable(self, host: str) -> bool:
        """Returns whether a host is known and not dead."""
        return membership.is_reachable(self._members.get(host))

    def is_new_process(self, update: messages.MemberUpdate) -> bool:
        """Returns whether an update is of a process not known before."""
        return membership.is_new_process(self._members.get(update.host), update)

    def choose_absent(self) -> str | None:
        """Returns the next dead or unknown host, round-robin, or None."""
        for host in self._absent:
            del self._absent[host]
            self._absent[host] = None
            return host
        return None

    def set_declared_hosts(self, hosts: collections.abc.Sequence[str]) -> None:
        """Replaces the declared hosts and removes members not among them.

        Args:
          hosts: The declared hosts, in the order in which ``choose_absent``
            returns those that are dead or unknown.
        """
        self._declared = frozenset(hosts)
        self._absent = {
            host: None
            for host in hosts
            if host != self._host and not self.is_reachable(host)
        }
        for host in list(self._members):
            if host not in self._declared and host != self._host:
                del self._members[host]
                self._update_queue.remove(host)
                self._suspects.discard(host)
                self._writer.remove(host)

    def update_own(
        self, *, state: str, leased: bool, load: float, now: float
    ) -> None:
        """Writes the record of this host if it has changed.

        A new state or lease is disseminated; a new load is only written, if
        it differs by ``_LOAD_STEP`` or more. Updates are ordered by
        incarnation and state alone, so a change of the lease increments the
        incarnation.
        """
        own = self._own
        is_known = self._host in self._members
        if is_known and (own.state, own.leased) == (state, leased):
            if abs(own.load - load) < _LOAD_STEP:
                return
            self._put(own.replace(load=round(load, 3)), disseminate=False)
            return
        self._put(
            own.replace(
                incarnation=own.incarnation
                + (is_known and own.leased != leased),
                state=state,
                changed_at=now if own.state != state else own.changed_at,
                load=round(load, 3),
                leased=leased,
            )
        )

    def merge(
        self, update: messages.MemberUpdate, now: float, *, direct: bool
    ) -> None:
        """Applies an update from a peer.

        An update that contradicts this host's own record is refuted with a
        higher incarnation. Updates of hosts that are not declared are ignored.

        Args:
          update: The update.
          now: Monotonic seconds.
          direct: Whether the host itself sent it.
        """
        if update.host == self._host:
            refutation = membership.find_refutation(self._own, update)
            if refutation is not None:
                self._put(self._own.replace(incarnation=refutation))
            return
        if update.host not in self._declared:
            return
        before = self._members.get(update.host)
        member = membership.merge_update(before, update, now, direct=direct)
        if member is None:
            return
        is_newer = before is None or membership.supersedes(update, before)
        self._put(member, disseminate=is_newer)

    def suspect(self, host: str, now: float) -> bool:
        """Marks a host that did not answer as suspect; as dead if leaving.

        Returns:
          Whether this changed its state. False if it was suspect, dead or
          unknown before.
        """
        member = membership.suspect_member(self._members.get(host), now)
        if member is None:
            return False
        self._put(member)
        return True

    def expire_suspicions(self, now: float) -> None:
        """Marks suspects as dead whose suspicion timeout has passed."""
        for host in list(self._suspects):
            member = membership.expire_suspicion(self._members[host], now)
            if member is not None:
                self._put(member)

    def restart_suspicions(self, now: float) -> None:
        """Restarts all suspicion timeouts, after this process was paused."""
        for host in list(self._suspects):
            self._put(
                self._members[host].replace(changed_at=now), disseminate=False
            )

    def find_wake_time(self) -> float:
        """Returns when the first suspicion times out, monotonic seconds."""
        return min(
            (
                self._members[host].changed_at + membership.SUSPICION_TIMEOUT_S
                for host in self._suspects
            ),
            default=math.inf,
        )

    def choose_updates(
        self, receiver: str
    ) -> tuple[messages.MemberUpdate, ...]:
        """Returns the updates for one message and counts them as sent."""
        return self._update_queue.choose_updates(
            self._members,
            own=self._host,
            receiver=receiver,
            limit=membership.compute_send_limit(len(self._declared)),
        )

    def build_update_batches(self) -> list[tuple[messages.MemberUpdate, ...]]:
        """Returns updates of all members in batches that fit a message."""
        return membership.build_update_batches(self._members)

    def _put(self, member: fleet.Member, *, disseminate: bool = True) -> None:
        before = self._members.get(member.host)
        self._members[member.host] = member
        if member.host == self._host:
            self._own = member
        if disseminate:
            self._update_queue.add(member.host)
        if membership.is_reachable(member):
            self._absent.pop(member.host, None)
        else:
            self._absent[member.host] = None
        if member.state == "suspect":
            self._suspects.add(member.host)
        else:
            self._suspects.discard(member.host)
        self._writer.put(member.host, member)
        if before is None or before.state != member.state:
            _LOG.info(
                "member changed",
                extra={
                    "member": member.host,
                    "incarnation": member.incarnation,
                    "before": before.state if before else "unknown",
                    "state": member.state,
                },
            )
