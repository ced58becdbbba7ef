"""How memory and descriptors are divided, alone and while two processes share them."""

from __future__ import annotations

import json
from dataclasses import replace

from peers import SETTINGS

from quartzford.resource_limits import (
    BASE_BYTES,
    BASE_DESCRIPTORS,
    MB,
    MIN_BUFFERED_BYTES,
    MIN_CONNECTIONS,
    MIN_PAIRED_BUFFERED_BYTES,
    MIN_PAIRED_CONNECTIONS,
    PAIRED_BASE_BYTES,
    full_limits,
    paired_limits,
)
from quartzford.settings.configuration import Config, read_config


def config(memory_bytes: int, descriptors: int) -> Config:
    table = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "limits": {"memory_mb": 128, "sockets": 1024},
        "known": {},
        "settings": SETTINGS,
    }
    return replace(read_config(json.dumps(table)), memory_bytes=memory_bytes, descriptors=descriptors)


def test_one_process_has_all_but_its_own_base() -> None:
    limits = full_limits(config(256 * MB, BASE_DESCRIPTORS + 101))
    assert limits == (256 * MB - BASE_BYTES, 50, 51)


def test_two_processes_share_and_busy_clients_stay_with_the_predecessor() -> None:
    limits = paired_limits(config(256 * MB, BASE_DESCRIPTORS + 101), 20)
    assert limits == (128 * MB - PAIRED_BASE_BYTES, 30, 25)


def test_small_machines_get_the_least_that_serves() -> None:
    small = config(1 * MB, 1)
    half = MIN_CONNECTIONS // 2
    assert full_limits(small) == (MIN_BUFFERED_BYTES, half, half)
    least = MIN_PAIRED_CONNECTIONS
    assert paired_limits(small, 99) == (MIN_PAIRED_BUFFERED_BYTES, least, least)
