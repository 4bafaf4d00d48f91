"""Methods that vary with the type of their first argument, with little overhead."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class dispatchmethod(singledispatchmethod):
    """A ``singledispatchmethod`` for plain methods, called once or more per packet.

    The base class copies the metadata of the method at each access, which takes longer
    than most handlers run. Handlers are registered as with the base class, and must be
    plain functions.
    """

    def __get__(self, instance: Any, owner: type | None = None) -> Callable[..., Any]:
        """Return a function that calls the handler of its first argument's type."""
        if instance is None:
            return super().__get__(instance, owner)
        dispatch = self.dispatcher.dispatch

        def call(argument: Any, *others: Any) -> Any:
            return dispatch(argument.__class__)(instance, argument, *others)

        return call
