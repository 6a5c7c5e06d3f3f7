"""Values of HTTP header fields (RFC 9110, 5.5 and 5.6.3)."""

__all__ = ["field_value"]

OPTIONAL_WHITE_SPACE = b" \t"


def field_value(raw: bytes) -> str:
    """Return a field's value without the spaces and tabs around it.

    Other control characters are kept, so that checks of the value find them.
    """
    return raw.strip(OPTIONAL_WHITE_SPACE).decode("latin-1")
