"""A load balancer for servers whose load changes within milliseconds.

Each subpackage covers one concern and follows the same layout: ``state``
(pure decision logic without I/O), ``tasks`` (circuits components that own
sockets and mutable state), ``commands`` (writes), ``queries`` (reads) and
``codes``.
"""

__version__ = '0.2.0'

__all__ = ['__version__']
