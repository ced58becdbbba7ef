"""The keys of the operator's file and the settings fields into which they are read."""

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
def test_section_fields_match_checked_keys(section: str) -> None:
    section_type, checks = SECTIONS[section]
    names = {file.RELAY_FIELD_NAMES.get(key, key) for key in checks}
    assert names == {field.name for field in fields(section_type)}


def test_renamed_key_is_read_into_its_field() -> None:
    text = '[relay]\nlisten = "h:1"\nsource = "h:2"\nbalancers = 3\nwhole_bytes_per_s = 4000\n'
    relay = file.read_operator_settings(text).relay
    assert relay is not None
    assert relay.list_bytes_per_s == 4_000.0
