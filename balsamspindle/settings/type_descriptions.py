"""Describes the type of a settings field in words, for error messages."""

from typing import Any, NamedTuple

from msgspec import inspect

__all__ = ["TypeDescription", "describe_type"]

_LIMIT_WORDS = {"gt": "above", "ge": "at least", "lt": "below", "le": "at most"}


class TypeDescription(NamedTuple):
    """A type in words, and its allowed values if only a fixed set is allowed."""

    words: str
    choices: tuple[str, ...] = ()

    def __str__(self) -> str:
        return self.words


def describe_type(kind: Any) -> TypeDescription:
    """Describe the type annotation of a field."""
    return _describe(inspect.type_info(kind))


def _describe(info: inspect.Type) -> TypeDescription:
    match info:
        case inspect.EnumType(cls=cls):
            return _describe_choice(tuple(member.value for member in cls))
        case inspect.LiteralType(values=values):
            return _describe_choice(tuple(values))
        case inspect.FloatType():
            return TypeDescription(f"a number{_describe_limits(info)}")
        case inspect.IntType():
            return TypeDescription(f"a whole number{_describe_limits(info)}")
        case inspect.BoolType():
            return TypeDescription("true or false")
        case inspect.StrType():
            return TypeDescription(f"a string{_describe_text(info)}")
        case inspect.VarTupleType(item_type=item) | inspect.ListType(item_type=item):
            inner = _describe(item)
            count = f" of at least {info.min_length} item(s)" if info.min_length else ""
            return TypeDescription(f"a list{count}, each {inner}", inner.choices)
        case inspect.Metadata(type=inner, extra_json_schema=schema):
            words = (schema or {}).get("description")
            return TypeDescription(words) if words else _describe(inner)
        case inspect.UnionType(types=types):
            return TypeDescription(
                " or ".join(str(_describe(inner)) for inner in types)
            )
        case inspect.NoneType():
            return TypeDescription("null")
        case _:
            return TypeDescription("a JSON object")


def _describe_choice(values: tuple[str, ...]) -> TypeDescription:
    return TypeDescription(f"one of {', '.join(values)}", values)


def _describe_limits(info: inspect.FloatType | inspect.IntType) -> str:
    limits = [
        f"{words} {getattr(info, name):g}"
        for name, words in _LIMIT_WORDS.items()
        if getattr(info, name) is not None
    ]
    return f" {' and '.join(limits)}" if limits else ""


def _describe_text(info: inspect.StrType) -> str:
    length = f" of {info.max_length} characters" if info.max_length else ""
    if info.max_length != info.min_length:
        length = length.replace("of", "of at most")
    return f"{length} that matches {info.pattern}" if info.pattern else length
