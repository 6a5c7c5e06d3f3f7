"""The client of the raw objects that the platform's metadata store keeps."""

from urllib.parse import quote

from expression import Error, Ok, Result

from balsamspindle.platform.store_calls import (
    StoreAnswer,
    call_store,
    classify_failure,
)
from balsamspindle.tables import ObjectStore, Unknown

__all__ = ["HttpObjectStore"]


class HttpObjectStore(ObjectStore):
    """The store's objects at one address."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"

    def get(self, name):
        """See `ObjectStore.get`."""
        match call_store("GET", f"{self._url}/blob-get/{quote(name, safe='')}"):
            case Result(tag="ok", ok=StoreAnswer(200, body, is_framed=True)):
                return Ok(body)
            case Result(tag="ok", ok=StoreAnswer(200)):
                return Error(Unknown("the object may be truncated: it has no length"))
            case Result(tag="ok", ok=StoreAnswer(404)):
                return Ok(None)
            case result:
                return classify_failure(result)

    def put(self, name, body):
        """See `ObjectStore.put`."""
        match call_store("PUT", f"{self._url}/blob-put/{quote(name, safe='')}", body):
            case Result(tag="ok", ok=StoreAnswer(200)):
                return Ok(None)
            case result:
                return classify_failure(result)
