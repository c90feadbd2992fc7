"""A load balancer for servers whose load shifts in milliseconds.

Each package below this one holds one concern and the same few modules:
``state`` (pure decisions), ``tasks`` (circuits components that own sockets
and state), ``commands`` and ``queries`` (kept apart) and ``codes``.
"""

__version__ = '0.2.0'

__all__ = ['__version__']
