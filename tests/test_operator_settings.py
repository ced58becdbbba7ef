"""The keys that the operator's file may have, and the fields that hold them."""

from __future__ import annotations

from dataclasses import fields

import pytest

from quartzford.settings import operator_file as file
from quartzford.settings import operator_settings as settings
from quartzford.settings.operator_checks import Check

SECTIONS: dict[str, tuple[type, dict[str, Check]]] = {
    "extproc": (settings.ExtprocSettings, file.EXTPROC_CHECKS),
    "trace": (settings.TraceSettings, file.TRACE_CHECKS),
    "subset": (settings.SubsetSettings, file.SUBSET_CHECKS),
    "lists": (settings.ListsSettings, file.LISTS_CHECKS),
    "relay": (settings.RelaySettings, file.RELAY_CHECKS),
}


@pytest.mark.parametrize("section", SECTIONS)
def test_each_field_of_a_section_has_a_checked_key(section: str) -> None:
    kind, checks = SECTIONS[section]
    names = {file.RELAY_FIELD_NAMES.get(key, key) for key in checks}
    assert names == {field.name for field in fields(kind)}


def test_a_key_whose_field_has_another_name_is_read_into_it() -> None:
    text = '[relay]\nlisten = "h:1"\nsource = "h:2"\nbalancers = 3\nwhole_bytes_per_s = 4000\n'
    relay = file.read_operator_settings(text).relay
    assert relay is not None
    assert relay.list_bytes_per_s == 4_000.0
