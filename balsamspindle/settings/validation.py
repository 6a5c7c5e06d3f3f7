"""Checks settings and reports all faults, each with its document and field.

A decoder stops at the first fault of a document, so an operator would have to resubmit
a document once for each of its faults. A document that can't be decoded is therefore
checked again field by field.
"""

import difflib
from collections.abc import Collection, Iterable, Iterator, Mapping
from types import UnionType
from typing import Annotated, Any, NamedTuple, Union, get_args, get_origin

import msgspec

from balsamspindle.protocol.decoding import (
    InputError,
    JsonDecoder,
    convert_input,
    decode_json,
    shorten,
)
from balsamspindle.settings.documents import (
    DOCUMENT_TYPES,
    NAME_PATTERN,
    CustomerDocument,
    RouteDocument,
    ServiceDocument,
    document_type,
)
from balsamspindle.settings.type_descriptions import describe_type

__all__ = [
    "DocumentWarning",
    "Fault",
    "check_documents",
    "document_warnings",
    "struct_faults",
]

SIMILARITY_MIN = 0.6
VALUE_SHOWN_MAX = 60
SECRET_PREFIXES = ("secret", "key_digests")

_decoders = {kind: JsonDecoder(kind) for kind in DOCUMENT_TYPES.values()}


class Fault(msgspec.Struct, frozen=True):
    """One fault of the settings.

    Attributes
    ----------
    path : str
        Path of the document.
    message : str
        What is wrong, and what is expected instead.
    field : str
        Field within the document, such as ``detection.threshold`` or
        ``methods[1]``; empty for the document as a whole.
    """

    path: str
    message: str
    field: str = ""

    def __str__(self) -> str:
        place = f"{self.path} {self.field}" if self.field else self.path
        return f"{place}: {self.message}"


class DocumentWarning(msgspec.Struct, frozen=True):
    """A property of a valid document that may be a mistake of its author."""

    path: str
    message: str


class _RouteKey(NamedTuple):
    """Which requests a route matches; equal keys match the same requests."""

    host: str
    path_prefix: str
    method: str


def check_documents(
    documents: Mapping[str, bytes], known_services: Collection[str] = ()
) -> list[Fault]:
    """Return all faults of a set of documents, not just the first.

    No other documents are read, so that the cost of checking one team's documents does
    not grow with the number of other teams' documents.

    Parameters
    ----------
    documents : mapping of str to bytes
        JSON documents by path.
    known_services : collection of str, default=()
        Services, as ``TEAM/NAME``, that other documents define.

    Returns
    -------
    list of Fault
        Empty when the documents are valid.
    """
    faults: list[Fault] = []
    services = set(known_services)
    routes: dict[str, RouteDocument] = {}
    customers: dict[str, CustomerDocument] = {}
    for path, document in documents.items():
        kind = document_type(path)
        if kind is None:
            faults.append(Fault(path, _path_fault(path)))
            continue
        if kind is ServiceDocument:
            # A service whose document has faults still counts as defined, since the
            # routes that name it have no fault.
            services.add(_service_name(path))
        try:
            value = _decoders[kind].decode(document)
        except InputError:
            faults.extend(struct_faults(path, document, kind))
            continue
        faults.extend(_combination_faults(path, value))
        if isinstance(value, RouteDocument):
            routes[path] = value
        if isinstance(value, CustomerDocument):
            customers[path] = value
    faults.extend(_unknown_service_faults(routes, services))
    faults.extend(_duplicate_route_faults(routes))
    faults.extend(_duplicate_key_faults(customers))
    return faults


def document_warnings(documents: Mapping[str, bytes]) -> list[DocumentWarning]:
    """Return warnings about valid documents, such as routes to other teams."""
    warnings = []
    for path, document in documents.items():
        if document_type(path) is not RouteDocument:
            continue
        service = _decoders[RouteDocument].decode(document).service
        team, owner = path.partition("/")[0], service.partition("/")[0]
        if team != owner:
            message = f"routes to {service!r}, a service of another team ({owner})"
            warnings.append(DocumentWarning(path, message))
    return warnings


def _service_name(path: str) -> str:
    team, _, name = path.split("/")
    return f"{team}/{name}"


def _path_fault(path: str) -> str:
    kinds = ", ".join(DOCUMENT_TYPES)
    expected = f"expected TEAM/KIND/NAME with KIND one of {kinds}"
    segments = path.split("/")
    if len(segments) != 3:
        return expected
    team, kind, name = segments
    if kind not in DOCUMENT_TYPES:
        return f"{expected}{_suggest(kind, DOCUMENT_TYPES)}"
    wrong = [segment for segment in (team, name) if not NAME_PATTERN.match(segment)]
    return f"{wrong[0]!r} is no name: use a-z, 0-9, '.' and '-', at most 64 characters"


def struct_faults(path: str, document: bytes, kind: type) -> Iterator[Fault]:
    """Yield all faults of a JSON document that should decode to a struct type."""
    try:
        value = decode_json(document)
    except InputError as error:
        yield Fault(path, f"not JSON: {error}")
        return
    yield from _struct_faults(path, "", value, kind)


def _struct_faults(path: str, prefix: str, value: Any, kind: type) -> Iterator[Fault]:
    """Yield the faults of a decoded JSON object, field by field."""
    if not isinstance(value, dict):
        message = f"expected a JSON object, got {_format_value(value)}"
        yield Fault(path, message, prefix.rstrip("."))
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in value:
        if name not in fields:
            message = f"no such field{_suggest(name, fields)}"
            yield Fault(path, message, shorten(f"{prefix}{name}"))
    for name, field in fields.items():
        place = f"{prefix}{name}"
        if name in value:
            yield from _field_faults(path, place, value[name], field.type)
        elif field.required:
            yield Fault(path, f"missing: expected {describe_type(field.type)}", place)


def _field_faults(path: str, place: str, value: Any, kind: Any) -> Iterator[Fault]:
    if _is_valid(value, kind):
        return
    struct = _struct_type(kind)
    if struct is not None:
        yield from _struct_faults(path, f"{place}.", value, struct)
        return
    faults = list(_item_faults(path, place, value, kind))
    if not faults:
        expected = describe_type(kind)
        hint = _suggest(value, expected.choices)
        # Faults are shown on terminals and in logs, so they must not contain keys.
        got = "another value" if _is_secret(place) else f"{_format_value(value)}{hint}"
        faults = [Fault(path, f"expected {expected}, got {got}", place)]
    yield from faults


def _is_secret(place: str) -> bool:
    return place.rpartition(".")[2].startswith(SECRET_PREFIXES)


def _struct_type(kind: Any) -> type | None:
    """Return the struct class of a field's type, None if it is not a struct.

    An optional struct counts as a struct.
    """
    is_union = get_origin(kind) in (Union, UnionType)
    for option in get_args(kind) if is_union else (kind,):
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _item_faults(path: str, place: str, value: Any, kind: Any) -> Iterator[Fault]:
    """Yield the faults of a list's items; yield none if the value is no list."""
    item_kind = _item_type(kind)
    if item_kind is None or not isinstance(value, list):
        return
    for index, item in enumerate(value):
        yield from _field_faults(path, f"{place}[{index}]", item, item_kind)


def _item_type(kind: Any) -> Any | None:
    if get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    return get_args(kind)[0] if get_origin(kind) is tuple else None


def _is_valid(value: Any, kind: Any) -> bool:
    try:
        convert_input(value, kind)
    except InputError:
        return False
    return True


def _combination_faults(path: str, value: Any) -> Iterator[Fault]:
    """Yield faults in combinations of fields that are valid on their own."""
    match value:
        case ServiceDocument(detection=detection):
            if detection.error_rate_sick <= detection.error_rate_healthy:
                message = (
                    f"expected more than error_rate_healthy "
                    f"({detection.error_rate_healthy:g}), "
                    f"got {detection.error_rate_sick:g}"
                )
                yield Fault(path, message, "detection.error_rate_sick")
        case RouteDocument(shares=shares):
            if shares and not any(share.weight for share in shares):
                yield Fault(path, "expected a weight above 0", "shares")
        case CustomerDocument(rate_per_s=rate_per_s, burst=burst):
            if burst and not rate_per_s:
                message = f"expected 0 where rate_per_s is 0, got {burst:g}"
                yield Fault(path, message, "burst")


def _unknown_service_faults(
    routes: Mapping[str, RouteDocument], services: Collection[str]
) -> Iterator[Fault]:
    for path, route in routes.items():
        named = {"service": route.service}
        for index, share in enumerate(route.shares):
            named[f"shares[{index}].service"] = share.service
        for place, service in named.items():
            if service not in services:
                hint = _suggest(service, services)
                message = f"no service {service!r} is defined{hint}"
                yield Fault(path, message, place)


def _duplicate_route_faults(routes: Mapping[str, RouteDocument]) -> Iterator[Fault]:
    """Yield one fault for each pair of routes that match the same requests."""
    path_by_key: dict[_RouteKey, str] = {}
    reported: set[tuple[str, str]] = set()
    for path, route in routes.items():
        for key in _route_keys(route):
            other = path_by_key.setdefault(key, path)
            if other == path or (path, other) in reported:
                continue
            reported.add((path, other))
            message = (
                f"takes the same requests as {other} "
                f"(host {key.host}, path_prefix {key.path_prefix}, {key.method})"
            )
            yield Fault(path, message)


def _duplicate_key_faults(customers: Mapping[str, CustomerDocument]) -> Iterator[Fault]:
    """Yield a fault for each key that occurs in a second customer's document."""
    path_by_digest: dict[str, str] = {}
    for path, customer in customers.items():
        for index, digest in enumerate(customer.key_digests):
            other = path_by_digest.setdefault(digest, path)
            if other != path:
                message = f"the key is also listed in {other}"
                yield Fault(path, message, f"key_digests[{index}]")


def _route_keys(route: RouteDocument) -> Iterator[_RouteKey]:
    prefix = route.path_prefix.rstrip("/") or "/"
    for method in route.methods:
        yield _RouteKey(route.host.lower(), prefix, method)


def _suggest(word: Any, choices: Iterable[str]) -> str:
    if not isinstance(word, str):
        return ""
    close = difflib.get_close_matches(word, list(choices), 1, SIMILARITY_MIN)
    return f"; did you mean {close[0]!r}?" if close else ""


def _format_value(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    if len(text) <= VALUE_SHOWN_MAX:
        return text
    return f"{text[:VALUE_SHOWN_MAX]}..."
