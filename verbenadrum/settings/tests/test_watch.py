"""Tests of the detection of settings file changes."""

import pathlib

from verbenadrum.settings import watch


def test_each_change_is_reported_once(tmp_path: pathlib.Path):
    path = tmp_path / "host.toml"
    path.write_text("one")
    watched = watch.SettingsWatch(path=path)
    assert not watched.changed()
    path.write_text("two and more")
    assert [watched.changed(), watched.changed()] == [True, False]


def test_missing_file_is_reported_only_after_its_replacement(tmp_path: pathlib.Path):
    path = tmp_path / "host.toml"
    path.write_text("one")
    watched = watch.SettingsWatch(path=path)
    path.unlink()
    assert not watched.changed()
    path.write_text("three")
    assert watched.changed()
