"""Controllers that publish values and listings, set outages, count calls."""

import collections
import typing

from standins import blackboard
from standins import controllers
from standins.platform import extension_points
from standins.platform import platform_records


@controllers.register(
    extension_points.CONTROLLERS,
    "publication",
    reads=["commands"],
    writes=["sets", "values"],
)
class Publication(controllers.Controller):
    """Keeps the published sets, and the values of the set that is served."""

    def start(self) -> None:
        """Publishes the files of the folder as the first set."""
        self._newest_set = 0
        self._manifest_age = 0
        self._publish(platform_records.read_folder(self.settings.folder))

    def step(self, now: float) -> None:
        """Applies the control calls "publish" and "stale"."""
        for command in self.read_new_records("commands"):
            if command.name == "publish":
                values = dict(command.body["values"])
                if command.body["keep"]:
                    newest = self.board.find_section("sets").get(
                        self._newest_set
                    )
                    values = {**newest, **values}
                self._publish(values)
            elif command.name == "stale":
                self._manifest_age = command.body["manifest_age"]
                self._update_values()

    def _publish(self, values: dict[str, platform_records.Value]) -> None:
        self._newest_set += 1
        self.get_writer("sets").put(self._newest_set, values)
        self.get_writer("sets").remove(self._newest_set - self.settings.history)
        self._manifest_age = min(
            self._manifest_age, len(self.board.find_section("sets")) - 1
        )
        self._update_values()

    def _update_values(self) -> None:
        values = self.board.find_section("sets").get(
            self._newest_set - self._manifest_age
        )
        table = self.board.find_section("values")
        for key in platform_records.order_keys(values):
            if table.get(key) != values[key]:
                self.get_writer("values").put(key, values[key])
        for key in set(table.copy_records()) - set(values):
            self.get_writer("values").remove(key)


@controllers.register(
    extension_points.CONTROLLERS,
    "outages",
    reads=["commands"],
    writes=["outages"],
)
class Outages(controllers.Controller):
    """Keeps the outage mode of each source address."""

    def step(self, now: float) -> None:
        """Applies the control call "outage"."""
        for command in self.read_new_records("commands"):
            if command.name != "outage":
                continue
            sources = command.body["sources"]
            if sources is None:
                self.get_writer("outages").clear()
                sources = [extension_points.EVERYONE]
            for source in sources:
                self.get_writer("outages").put(source, command.body["mode"])


@controllers.register(
    extension_points.CONTROLLERS,
    "listing",
    reads=["commands"],
    writes=["listing"],
)
class Listing(controllers.Controller):
    """Makes new rows of /v1/targets visible after their lag."""

    def start(self) -> None:
        """Writes the rows of the settings, which are visible at once."""
        self.get_writer("listing").put("shown", self.settings.targets)
        self.get_writer("listing").put("pending", ())

    def step(self, now: float) -> float | None:
        """Queues new rows and makes those visible whose lag has passed."""
        table = self.board.find_section("listing")
        pending = list(table.get("pending"))
        for command in self.read_new_records("commands"):
            if command.name == "listing":
                shown_at = now + command.body["lag_s"]
                pending.append((shown_at, command.body["targets"]))
        pending.sort(key=lambda entry: entry[0])
        while pending and pending[0][0] <= now:
            self.get_writer("listing").put("shown", pending.pop(0)[1])
        self.get_writer("listing").put("pending", tuple(pending))
        return pending[0][0] if pending else None


@controllers.register(
    extension_points.CONTROLLERS,
    "calls",
    reads=["commands", "requests"],
    writes=["calls"],
)
class Calls(controllers.Controller):
    """Counts reads, watches and listing requests."""

    def step(self, now: float) -> None:
        """Counts new calls and applies the control call "reset"."""
        for call in self.read_new_records("requests"):
            self._count(("total",))
            self._count(("source", call.source))
            self._count(("kind", call.kind))
            self._count(("second", call.second))
            self._count(("source_kind", call.source, call.kind))
        for command in self.read_new_records("commands"):
            if command.name == "reset":
                self.get_writer("calls").clear()

    def _count(self, key: tuple[typing.Any, ...]) -> None:
        count = self.board.find_section("calls").get(key, 0)
        self.get_writer("calls").put(key, count + 1)


def describe_calls(board: blackboard.Blackboard) -> dict[str, typing.Any]:
    """Returns the number of calls per source, kind and second."""
    counts: dict[str, typing.Any] = {
        "total": 0,
        "by_source": {},
        "by_kind": {},
        "by_second": {},
        "by_source_and_kind": collections.defaultdict(dict),
    }
    for key, count in board.find_section("calls").copy_records().items():
        if key[0] == "total":
            counts["total"] = count
        elif key[0] == "source_kind":
            counts["by_source_and_kind"][key[1]][key[2]] = count
        else:
            counts[f"by_{key[0]}"][str(key[1])] = count
    return counts
