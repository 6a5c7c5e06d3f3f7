"""Keeps the logs of a failed soak, and what the soak checked."""

import json
import os
import shutil
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

__all__ = ["FOLDER_VARIABLE", "kept_on_failure"]

# Environment variable with the folder in which kept logs are stored; by default the
# system's folder for temporary files.
FOLDER_VARIABLE = "SOAK_LOGS"


@contextmanager
def kept_on_failure(
    name: str, folder: Path, facts: Callable[[], dict]
) -> Iterator[None]:
    """Copy the logs to a new folder and print its path, if the block fails.

    The new folder also contains `facts.json`: the facts, the error, the load of the
    machine, and the present time on the wall clock and on the monotonic clock.

    Parameters
    ----------
    name : str
        Start of the new folder's name.
    folder : Path
        Folder of the soak's processes.
    facts : callable
        Returns what the soak did and observed, as JSON types.
    """
    try:
        yield
    except Exception as error:
        kept = Path(tempfile.mkdtemp(prefix=f"{name}-", dir=_parent()))
        print(f"{name} failed; its logs are in {kept}", flush=True)
        for log in folder.glob("*.log"):
            shutil.copy(log, kept)
        times = {"wall_s": time.time(), "monotonic_s": time.monotonic()}
        content = {"error": str(error), "load": os.getloadavg(), **times, **facts()}
        (kept / "facts.json").write_text(json.dumps(content, indent=1))
        raise


def _parent() -> str | None:
    parent = os.environ.get(FOLDER_VARIABLE)
    if parent:
        Path(parent).mkdir(parents=True, exist_ok=True)
    return parent or None
