"""A made-up site: the settings of a balancer in the platform's form, for benches, tests and the demo."""

from __future__ import annotations

import socket
from typing import Any

_reservations: list[socket.socket] = []


def free_port() -> int:
    """A port that was free a moment ago; another process may take it: reserved_port() is for new callers."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def reserved_port(host: str = "127.0.0.1") -> int:
    """A loopback port for a server in another process, which has to be named before it listens.

    It stays bound until this process ends, so that the kernel gives it to nobody else; whoever sets
    SO_REUSEADDR, as servers do, may listen there.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    _reservations.append(sock)
    return int(sock.getsockname()[1])


CLASSES = [
    {"name": "consulta", "sloMs": 500.0, "deadlineMs": 2000.0, "value": 1.0, "effect": "free"},
    {
        "name": "reserva",
        "sloMs": 600.0,
        "deadlineMs": 2000.0,
        "value": 10.0,
        "effect": "guarded",
        "group": "cell",
        "memorySpanMs": 2000.0,
    },
    {"name": "cobro", "sloMs": 600.0, "deadlineMs": 2000.0, "value": 8.0, "effect": "single_shot"},
]
MIX = (("consulta", 0.6), ("reserva", 0.3), ("cobro", 0.1))
START_SHARE, WARM_S, FALL_S, TIP = 0.13, 24.0, 2.0, 4.0
DRAIN_S = 0.25


def config(listen: int, discovery: int, known: dict[str, Any]) -> dict[str, Any]:
    """A balancer's configuration in the platform's form."""
    settings = {
        "blend": {"whole": 0.55, "worstWindow": 0.15, "worstClass": 0.05, "worstTenant": 0.25},
        "classes": CLASSES,
        "guarantees": {
            "answerSlackMs": 20.0,
            "askEveryMs": 10000.0,
            "coldMs": WARM_S * 1000,
            "tipMultiple": TIP,
            "drainGraceMs": DRAIN_S * 1000,
            "fallMs": FALL_S * 1000,
            "startCapacity": START_SHARE,
        },
        "limits": {
            "connIdleMs": 15000.0,
            "connectTimeoutMs": 250.0,
            "maxAttempts": 4,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfterMs": 2000.0,
        },
        "myZone": "north",
        "nInstances": 1,
        "prices": {"waste": 0.05, "lateFail": 0.03},
        "registryMode": "automatic",
        "report": {"fields": ["depth"], "source": "inline"},
        "tickMs": 5.0,
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096},
        "known": known,
        "settings": settings,
    }
