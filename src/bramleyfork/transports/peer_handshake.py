"""The hello message, which each side sends first on a stream."""

from bramleyfork.codecs import frames
from bramleyfork.configuration import settings as daemon_settings
from bramleyfork.core import messages


def build_hello(settings: daemon_settings.Settings) -> messages.Hello:
    """Returns the hello of this process."""
    return messages.Hello(
        protocol=frames.PROTOCOL_VERSION,
        deployment=settings.deployment,
        host=settings.host,
        incarnation=settings.incarnation,
    )


def find_mismatch(
    hello: messages.Hello,
    *,
    expected_host: str | None,
    settings: daemon_settings.Settings,
) -> str | None:
    """Returns why a peer's hello is not acceptable; None if it is.

    Args:
      hello: The peer's hello.
      expected_host: Host that the connection must lead to; None for any.
      settings: Settings of this daemon.
    """
    if hello.protocol != frames.PROTOCOL_VERSION:
        return f"protocol {hello.protocol!r} is not {frames.PROTOCOL_VERSION!r}"
    if hello.deployment != settings.deployment:
        return f"deployment {hello.deployment!r} is not {settings.deployment!r}"
    if hello.host == settings.host:
        return f"the peer uses the name {hello.host!r} of this host"
    if expected_host not in (None, hello.host):
        return f"host {hello.host!r} answered instead of {expected_host!r}"
    return None
