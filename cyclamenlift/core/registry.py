"""Registries of implementations by name, filled by decorators."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

T = TypeVar('T')


class Registry(Generic[T]):
    """Maps names to implementations of one kind.

    >>> shapes = Registry('shape')
    >>> @shapes.register('dot')
    ... class Dot:
    ...     pass
    >>> shapes.get('dot') is Dot
    True
    >>> list(shapes)
    ['dot']
    """

    def __init__(self, kind: str):
        self.kind = kind
        self.items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument as ``name``."""

        def decorate(item: T) -> T:
            if name in self.items:
                raise ValueError(f'{self.kind} {name!r} is registered twice')
            self.items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Return the item; raise KeyError with the known names."""
        if name not in self.items:
            known = ', '.join(sorted(self.items))
            raise KeyError(f'unknown {self.kind} {name!r}; one of: {known}')
        return self.items[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.items))
