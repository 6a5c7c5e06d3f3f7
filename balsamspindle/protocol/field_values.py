"""Values of HTTP header fields (RFC 9110, 5.5 and 5.6.3)."""

__all__ = ["field_value"]

OPTIONAL_WHITE_SPACE = b" \t"


def field_value(raw: bytes) -> str:
    """Return a field's value without the white space round it, which is no part of it.

    Control characters other than the tab stay, for whoever checks the value.
    """
    return raw.strip(OPTIONAL_WHITE_SPACE).decode("latin-1")
