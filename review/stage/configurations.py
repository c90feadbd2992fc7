"""Configurations of a small deployment, in the platform's format."""

LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout': '3000ms',
    'idle_timeout': '15000ms',
}


def service(name: str) -> dict:
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 220,
        'protocol': 'h1',
        'tls': False,
    }


def route(
    name: str,
    prefix: str,
    kind: str,
    to: str,
    timeout_ms: int = 1200,
    aim_ms: int = 500,
) -> dict:
    return {
        'name': name,
        'path_prefix': prefix,
        'kind': kind,
        'timeout': f'{timeout_ms}ms',
        'target_latency': f'{aim_ms}ms',
        'priority': 1,
        'service': to,
        'attempts': 2,
    }


def configuration(
    version: int, services: list[str], hosts: dict[str, list[dict]]
) -> dict:
    """Return a complete configuration."""
    return {
        'version': version,
        'services': [service(name) for name in services],
        'limits': dict(LIMITS),
        'virtual_hosts': [
            {'host': host, 'path_rules': rules}
            for host, rules in hosts.items()
        ],
    }
