"""Tests of reading and validating settings."""

import pytest

from verbenadrum.settings import load

VALID_SETTINGS = """
[host]
id = "h1"
data_centre = "dc1"
region = "r1"
[callers]
listen = "127.0.0.1:8080"
[operators]
listen = "127.0.0.1:8081"
[peers]
listen = "127.0.0.1:8082"
[platform]
urls = ["http://127.0.0.1:9000"]
"""


def test_missing_settings_have_defaults():
    settings = load.parse_settings(VALID_SETTINGS, source="good.toml")
    assert settings.host.id == "h1"
    assert settings.log.level == "INFO"


def test_every_fault_is_reported_with_its_key_path():
    text = (
        VALID_SETTINGS.replace('"127.0.0.1:8080"', '"somewhere"')
        + '[log]\nlevel = "LOUD"\ncolour = 1\n'
    )
    with pytest.raises(load.SettingsError) as caught:
        load.parse_settings(text, source="bad.toml")
    message = str(caught.value)
    assert "bad.toml: callers.listen: 'somewhere' is not of the form ip:port" in message
    assert "log.level" in message
    assert "'colour' was unexpected); allowed: level" in message


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(load.SettingsError):
        load.load_settings(tmp_path / "none.toml")


def test_durations_may_have_a_unit():
    text = VALID_SETTINGS + '[shutdown]\nlimit_ms = "6s"\nmargin_ms = "500ms"\nlinger_ms = 250\n'
    table = load.parse_settings(text, source="good.toml").shutdown
    assert (table.limit_ms, table.margin_ms, table.linger_ms) == (6_000.0, 500.0, 250.0)


def test_malformed_duration_is_reported_with_its_key():
    with pytest.raises(load.SettingsError) as caught:
        load.parse_settings(VALID_SETTINGS + '[shutdown]\nlimit_ms = "soon"\n', source="bad.toml")
    assert "shutdown.limit_ms: 'soon' is not of type 'number'" in str(caught.value)
