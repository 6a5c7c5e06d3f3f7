"""Headers that apply to one connection and are not forwarded (RFC 9110, 7.6.1)."""

__all__ = ["HOP_BY_HOP_HEADERS", "connection_options"]

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def connection_options(value: str) -> set[str]:
    """Return the lowercase names of the headers listed in a Connection header."""
    return {name.strip().lower() for name in value.split(",")}
