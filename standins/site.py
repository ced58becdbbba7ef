"""An example site: a balancer's configuration in the platform's form, and reserved loopback ports."""

from __future__ import annotations

import socket
from typing import Any

_reserved_sockets: list[socket.socket] = []


def reserved_port(host: str = "127.0.0.1") -> int:
    """Return a loopback port for a server in another process, which must know the port before it listens.

    The port stays bound until this process exits, so that the kernel assigns it to no other socket; a server
    that sets SO_REUSEADDR, as servers usually do, can still listen on it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    _reserved_sockets.append(sock)
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
MIX = (("consulta", 0.6), ("reserva", 0.3), ("cobro", 0.1))  # service classes and their shares of requests
START_SHARE = 0.13  # fraction of its capacity at which a cold upstream starts
WARM_S = 24.0  # time until a cold upstream has its full capacity
OVERLOAD_WINDOW_S = 2.0  # window over which an upstream's load is compared with its capacity
OVERLOAD_MULTIPLE = 4.0  # an upstream is overloaded from this multiple of its capacity on
DRAIN_S = 0.25  # from the notification of a drain until no request may be sent any more


def config(listen: int, discovery: int, known: dict[str, Any]) -> dict[str, Any]:
    """Return a balancer's configuration in the platform's form.

    listen, discovery: loopback ports; known: the initial endpoint list.
    """
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096},
        "known": known,
        "settings": _settings(),
    }


def _settings() -> dict[str, Any]:
    """Return the settings of the site's balancers, in the platform's form."""
    return {
        "blend": {"whole": 0.55, "worstWindow": 0.15, "worstClass": 0.05, "worstTenant": 0.25},
        "classes": CLASSES,
        "guarantees": {
            "answerSlackMs": 20.0,
            "askEveryMs": 10000.0,
            "coldMs": WARM_S * 1000,
            "tipMultiple": OVERLOAD_MULTIPLE,
            "drainGraceMs": DRAIN_S * 1000,
            "fallMs": OVERLOAD_WINDOW_S * 1000,
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
