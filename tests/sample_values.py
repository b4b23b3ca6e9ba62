"""Deterministic sample values of record types.

A sample depends on the types and the order of the fields only, so that it
stays the same when fields are renamed in the code.
"""

from collections.abc import Iterator
from enum import Enum
from itertools import count
from typing import Any

from msgspec import inspect


def sample(kind: type[Any]) -> Any:
    """Returns a value of a type whose fields differ from their defaults."""
    return _sample(inspect.type_info(kind), count(1))


def _sample(kind: inspect.Type, numbers: Iterator[int]) -> Any:
    number = next(numbers)
    match kind:
        case inspect.BoolType():
            return True
        case inspect.IntType():
            return number
        case inspect.FloatType():
            return number + 0.5 if kind.le is None else kind.le
        case inspect.StrType():
            return f"text-{number}"
        case inspect.BytesType():
            return f"bytes-{number}".encode()
        case inspect.EnumType():
            members: list[Enum] = list(kind.cls)
            return members[number % len(members)]
        case inspect.LiteralType():
            return kind.values[0]
        case inspect.VarTupleType():
            return (
                _sample(kind.item_type, numbers),
                _sample(kind.item_type, numbers),
            )
        case inspect.TupleType():
            return tuple(_sample(item, numbers) for item in kind.item_types)
        case inspect.DictType():
            key = _sample(kind.key_type, numbers)
            return {key: _sample(kind.value_type, numbers)}
        case inspect.UnionType():
            some = [
                item
                for item in kind.types
                if not isinstance(item, inspect.NoneType)
            ]
            return _sample(some[0], numbers)
        case inspect.StructType() | inspect.DataclassType():
            return kind.cls(
                **{
                    field.name: _sample(field.type, numbers)
                    for field in kind.fields
                }
            )
    raise TypeError(f"no sample of {kind}")
