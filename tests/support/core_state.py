"""The state of a core as plain values, to compare it at two times."""

from collections import deque
from enum import Enum
from random import Random
from types import FunctionType, MethodType

import attrs
import msgspec

SHARED_TYPES = (str, bytes, int, float, bool, type(None), Enum, type)
CALLABLES = (FunctionType, MethodType)


def describe_state(core):
    """Return all that can be reached from a core, with the state of its generators."""
    return _describe(core, {})


def _describe(value, numbers):
    if isinstance(value, SHARED_TYPES):
        return value
    if isinstance(value, CALLABLES):
        return value.__qualname__
    if id(value) in numbers:
        return ("seen", numbers[id(value)])
    numbers[id(value)] = len(numbers)
    if isinstance(value, Random):
        return value.getstate()
    if isinstance(value, dict):
        rows = [
            (_describe(k, numbers), _describe(v, numbers)) for k, v in value.items()
        ]
        return (type(value).__name__, rows)
    if isinstance(value, (list, tuple, deque)):
        return [_describe(item, numbers) for item in value]
    if isinstance(value, (set, frozenset)):
        return sorted(map(repr, value))
    names = _list_fields(value)
    fields = [(n, _describe(getattr(value, n, None), numbers)) for n in names]
    return (type(value).__name__, fields)


def _list_fields(value):
    if attrs.has(type(value)):
        return [field.name for field in attrs.fields(type(value))]
    if isinstance(value, msgspec.Struct):
        return value.__struct_fields__
    slots = [
        name for kind in type(value).__mro__ for name in vars(kind).get("__slots__", ())
    ]
    return [*getattr(value, "__dict__", {}), *slots]
