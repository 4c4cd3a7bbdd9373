import pathlib

import pytest

from bramleyfork.configuration import declared_options
from bramleyfork.configuration import manifests
from bramleyfork.configuration import option_schemas
from bramleyfork.configuration import settings
from bramleyfork.standalone import declared_options as standalone_options
from bramleyfork.standalone import settings as standalone_settings

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "configuration.md"

OPTIONS = {
    "settings": settings.OPTIONS,
    "deployment": declared_options.DEPLOYMENT,
    **declared_options.REPEATED,
    "target templates": declared_options.TARGET_TEMPLATES,
    "manifest": manifests.MANIFEST_OPTIONS,
    "manifest parts": manifests.PART_OPTIONS,
    "entry settings": standalone_settings.OPTIONS,
    "entry declaration": standalone_options.TOP_OPTIONS,
    "entry limits": standalone_options.LIMIT_OPTIONS,
    "entry services": standalone_options.SERVICE_OPTIONS,
    "entry routes": standalone_options.ROUTE_OPTIONS,
    "entry targets": standalone_options.TARGET_OPTIONS,
}


def render_row(option):
    default = "required"
    if option.default is None:
        default = "none"
    elif option.default != option_schemas.REQUIRED:
        default = repr(option.default).replace("'", '"').replace("()", "[]")
        default = f"`{default.lower() if default in _FLAGS else default}`"
    allowed = " or ".join(f'`"{choice}"`' for choice in option.choices)
    if option.low is not None and option.high is None:
        allowed = f"{option.low} or more entries"
    elif option.high is not None:
        allowed = f"{option.low:,} to {option.high:,}"
    cells = [f"`{option.key}`", option.type, option.unit, default]
    return f"| {' | '.join([*cells, allowed, option.purpose])} |"


_FLAGS = ("True", "False")


@pytest.mark.parametrize("name", OPTIONS)
def test_page_has_every_option_as_checked(name):
    # Guards against a page that documents other options than the check has.
    section = PAGE.read_text().partition(f"### {name}\n")[2]
    rows = [
        line
        for line in section.partition("\n#")[0].splitlines()
        if line.startswith("| `")
    ]
    assert rows == [render_row(option) for option in OPTIONS[name]]
