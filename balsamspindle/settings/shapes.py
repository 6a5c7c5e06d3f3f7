"""The expected shape of a settings field, in words."""

from typing import Any, NamedTuple

from msgspec import inspect

__all__ = ["Shape", "shape"]

_LIMIT_WORDS = {"gt": "above", "ge": "at least", "lt": "below", "le": "at most"}


class Shape(NamedTuple):
    """Words for a shape, and the only values it takes where there are few."""

    words: str
    choices: tuple[str, ...] = ()

    def __str__(self) -> str:
        return self.words


def shape(kind: Any) -> Shape:
    """Return the words for the type of a field."""
    return _shape(inspect.type_info(kind))


def _shape(info: inspect.Type) -> Shape:
    match info:
        case inspect.EnumType(cls=cls):
            return _choice(tuple(member.value for member in cls))
        case inspect.LiteralType(values=values):
            return _choice(tuple(values))
        case inspect.FloatType():
            return Shape(f"a number{_limits(info)}")
        case inspect.IntType():
            return Shape(f"a whole number{_limits(info)}")
        case inspect.BoolType():
            return Shape("true or false")
        case inspect.StrType():
            return Shape(f"a text{_description(info)}")
        case inspect.VarTupleType(item_type=item) | inspect.ListType(item_type=item):
            inner = _shape(item)
            count = f" of at least {info.min_length}" if info.min_length else ""
            return Shape(f"a list{count}, each {inner}", inner.choices)
        case inspect.Metadata(type=inner, extra_json_schema=schema):
            words = (schema or {}).get("description")
            return Shape(words) if words else _shape(inner)
        case inspect.UnionType(types=types):
            return Shape(" or ".join(str(_shape(inner)) for inner in types))
        case inspect.NoneType():
            return Shape("null")
        case _:
            return Shape("a JSON object")


def _choice(values: tuple[str, ...]) -> Shape:
    return Shape(f"one of {', '.join(values)}", values)


def _limits(info: inspect.FloatType | inspect.IntType) -> str:
    limits = [
        f"{words} {getattr(info, name):g}"
        for name, words in _LIMIT_WORDS.items()
        if getattr(info, name) is not None
    ]
    return f" {' and '.join(limits)}" if limits else ""


def _description(info: inspect.StrType) -> str:
    length = f" of {info.max_length} characters" if info.max_length else ""
    if info.max_length != info.min_length:
        length = length.replace("of", "of at most")
    return f"{length} that matches {info.pattern}" if info.pattern else length
