"""Reads JSON from a file or from standard input."""

import sys
from pathlib import Path
from typing import Any

from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import fail
from balsamspindle.protocol.decoding import InputError, decode_json

__all__ = ["STANDARD_INPUT", "read_documents", "read_json"]

STANDARD_INPUT = "-"


def read_json(source: str) -> Any:
    """Return the decoded JSON of a file, or of standard input for ``-``.

    Ends the program if the source can't be read or is not JSON.
    """
    try:
        text = (
            sys.stdin.buffer.read()
            if source == STANDARD_INPUT
            else Path(source).read_bytes()
        )
    except OSError as error:
        fail(f"{source}: {error.strerror}: name a JSON file", ExitStatus.USAGE)
    try:
        return decode_json(text)
    except InputError as error:
        name = "standard input" if source == STANDARD_INPUT else source
        fail(f"{name} is not JSON: {error}", ExitStatus.USAGE)


def read_documents(source: str) -> dict[str, Any]:
    """Return the documents of a JSON file, or of standard input, by their paths.

    Ends the program if the source can't be read or is not a JSON object.
    """
    documents = read_json(source)
    if not isinstance(documents, dict):
        message = f"{source}: expected a JSON object that maps paths to documents"
        fail(message, ExitStatus.USAGE)
    return documents
