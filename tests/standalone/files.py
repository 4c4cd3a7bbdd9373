"""Valid settings and declaration of a standalone host, and a TOML writer."""

import json

SETTINGS = {
    "host": "north-1",
    "data_centre": "north",
    "regions": {"north": "left", "south": "right"},
    "declaration_file": "declaration.toml",
    "caller_address": "127.0.0.1:7001",
    "pages_address": "127.0.0.1:7002",
    "peer_address": "127.0.0.1:7003",
    "carrier_address": "127.0.0.1:7004",
}
SERVICE = {"name": "s1", "connection_limit": 25}
ROUTE = {
    "name": "find",
    "host": "a.example",
    "prefix": "/find/",
    "idempotent": True,
    "timeout_s": 0.8,
    "aim_s": 0.12,
    "shards": ["s1"],
    "record_limit": 3,
}
TARGET = {
    "name": "s1a",
    "service": "s1",
    "address": "127.0.0.1:9000",
    "data_centre": "north",
}
DECLARATION = {
    "revision": 1,
    "services": [SERVICE],
    "routes": [ROUTE],
    "targets": [TARGET],
}


def drop(values, *keys):
    return {key: value for key, value in values.items() if key not in keys}


def write_toml(values):
    """Encodes plain values, tables and lists of tables as TOML."""
    lines, tables = [], []
    for key, value in values.items():
        if isinstance(value, dict):
            tables += [f"[{key}]", write_toml(value)]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for row in value:
                tables += [f"[[{key}]]", write_toml(row)]
        else:
            lines.append(f"{key} = {json.dumps(value)}")
    return "\n".join(lines + tables)
