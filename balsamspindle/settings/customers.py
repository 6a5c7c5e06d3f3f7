"""Finds a customer by the digest of one of its keys."""

from collections.abc import Iterable, Iterator

import msgspec

from balsamspindle.protocol.decoding import InputError, decode_json
from balsamspindle.settings.documents import CustomerDocument

__all__ = ["CustomerTable", "keep_listed_keys"]

# A table made by `CustomerTable.with_changes` shares one dictionary of keys with the
# table that it was made from, and stores changed keys in a dictionary of its own. This
# is the maximum number of changed keys. With more, the new table copies the shared
# dictionary and merges the changed keys into the copy.
CHANGES_MAX = 4096


class CustomerTable:
    """An immutable table of customers by the digests of their keys.

    A table made by `with_changes` shares the keys of the original table and stores
    only the changed keys, so that a change of one customer does not copy all keys.

    Parameters
    ----------
    customers : iterable of CustomerDocument
    """

    def __init__(self, customers: Iterable[CustomerDocument] = ()) -> None:
        self._shared: dict[bytes, CustomerDocument] = dict(_by_key(customers))
        self._changes: dict[bytes, CustomerDocument | None] = {}

    def find(self, digest: str) -> CustomerDocument | None:
        """Return the customer with a key of this hexadecimal digest, or None."""
        key = bytes.fromhex(digest)
        if key in self._changes:
            return self._changes[key]
        return self._shared.get(key)

    def with_changes(
        self,
        removed: Iterable[CustomerDocument],
        added: Iterable[CustomerDocument],
    ) -> "CustomerTable":
        """Return a new table without the customers `removed` and with those `added`."""
        table = CustomerTable()
        table._shared = self._shared
        table._changes = dict(self._changes)
        for key, customer in _by_key(removed):
            # If several customers' documents list a key, the table contains only the
            # customer that was added last. Removing another customer keeps the key.
            if self.find(key.hex()) is customer:
                table._changes[key] = None
        table._changes.update(_by_key(added))
        if len(table._changes) > CHANGES_MAX:
            table._merge_changes()
        return table

    def _merge_changes(self) -> None:
        shared = self._shared | self._changes
        self._shared = {
            key: customer for key, customer in shared.items() if customer is not None
        }
        self._changes = {}


class _Keys(msgspec.Struct):
    key_digests: tuple[str, ...] = ()


def keep_listed_keys(customer: CustomerDocument, document: bytes) -> CustomerDocument:
    """Return the customer without the keys that a newer document does not list.

    The document can't be decoded as a whole, for example because a newer release wrote
    it. If its keys can't be read either, the customer keeps none.
    """
    try:
        listed = frozenset(decode_json(document, _Keys).key_digests)
    except InputError:
        listed = frozenset()
    kept = tuple(digest for digest in customer.key_digests if digest in listed)
    return msgspec.structs.replace(customer, key_digests=kept)


def _by_key(
    customers: Iterable[CustomerDocument],
) -> Iterator[tuple[bytes, CustomerDocument]]:
    for customer in customers:
        for digest in customer.key_digests:
            yield bytes.fromhex(digest), customer
