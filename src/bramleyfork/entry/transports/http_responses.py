"""Responses that have been read whole."""


class HttpResponse:
    """A parsed response.

    Attributes:
      status: Status code.
      headers: Names and values of its header fields.
      body: Whole body.
      ends_with_connection: Whether only the end of its connection shows that it
        is complete, as its length is not declared.
    """

    __slots__ = ("status", "headers", "body", "ends_with_connection")

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        ends_with_connection: bool = False,
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.ends_with_connection = ends_with_connection

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header field; None without the field.

        Args:
          name: Name of the field in lower case.
        """
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return None
