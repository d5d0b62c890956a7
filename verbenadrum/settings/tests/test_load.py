"""Tests of reading settings."""

import pytest

from verbenadrum.settings import load

GOOD = """
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


def test_good_settings_have_defaults():
    settings = load.parse_settings(GOOD, source="good.toml")
    assert settings.host.id == "h1"
    assert settings.log.level == "INFO"


def test_every_fault_is_named_with_its_key_path():
    text = GOOD.replace('"127.0.0.1:8080"', '"somewhere"') + '[log]\nlevel = "LOUD"\ncolour = 1\n'
    with pytest.raises(load.SettingsError) as caught:
        load.parse_settings(text, source="bad.toml")
    message = str(caught.value)
    assert "bad.toml: callers.listen: 'somewhere' is not of the form ip:port" in message
    assert "log.level" in message
    assert "'colour' was unexpected); allowed: level" in message


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(load.SettingsError):
        load.load_settings(tmp_path / "none.toml")
