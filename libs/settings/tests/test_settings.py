from pathlib import Path

import pytest
from bilberryhitch_model import Host, parse_tables, validate_tables
from bilberryhitch_settings import load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"
# Data centres of each deployment, and its number of workers per rack.
DEPLOYMENTS = {
    "muscat": (("ruwi", "mutrah", "seeb", "qurum"), 6),
    "rabat": (("rabat-a", "kenitra-b", "tanger-c"), 8),
}


@pytest.mark.parametrize("name", ["muscat-ruwi-1", "rabat-a-1"])
def test_example_settings_load(name):
    settings = load_settings(EXAMPLES / f"{name}.jsonc").ok
    assert settings.host == name
    assert settings.platform.token not in repr(settings)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_example_tables_are_valid(deployment):
    # Guards against example files that fail validation.
    data_centres, count = DEPLOYMENTS[deployment]
    hosts = [
        Host(f"{c}-worker-{n}", "worker", c, "", rack=c, position=n - 1, accelerators=8)
        for c in data_centres
        for n in range(1, count + 1)
    ]
    hosts += [
        Host(f"{centre}-executor-{n}", "executor", centre, "")
        for centre in data_centres
        for n in range(1, count + 1)
    ]
    text = (EXAMPLES / f"{deployment}-tables.jsonc").read_text(encoding="utf-8")
    tables = parse_tables(text).ok
    assert {name for pool in tables.pools.values() for name in pool.hosts} == {
        host.name for host in hosts
    }
    assert validate_tables(tables, hosts).is_ok()


INVALID_EDITS = [
    ('"port": 8080', '"port": 80800', "$.api.port", 80800),
    ('"ip": "10.20.1.1", "port": 8080', '"ip": "10.20.1.999"', "$.api", ""),
    ('"ip": "10.20.1.1", "port": 7', '"ip": "1.2.3", "port": 7', "$.peer.ip", "1.2.3"),
    ('"host": "muscat-ruwi-2"', '"host": "muscat-ruwi-1"', "$.peers[0].host", None),
    ('"log_level": "INFO"', '"log_levl": "INFO"', "$", ""),
    ('"log_level": "INFO"', '"log_level": "INFO", "log_level": 1', "log_level", ""),
    ('"token": "replace-this-token"', '"token": ""', "$.platform.token", ""),
    ('"log_level": "INFO"', '"log_level" "INFO"', "47:15", ""),
]


@pytest.mark.parametrize(("old", "new", "path", "value"), INVALID_EDITS)
def test_invalid_settings_are_reported_with_their_path(tmp_path, old, new, path, value):
    text = (EXAMPLES / "muscat-ruwi-1.jsonc").read_text(encoding="utf-8")
    assert old in text
    file = tmp_path / "settings.jsonc"
    file.write_text(text.replace(old, new, 1), encoding="utf-8")
    error = load_settings(file).error
    assert (error.file, error.path) == (str(file), path)
    assert error.rule
    if value is not None:
        assert error.value == value


def test_missing_file_is_reported(tmp_path):
    assert "readable" in load_settings(tmp_path / "none.jsonc").error.rule
