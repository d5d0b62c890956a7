"""Tests of noticing a settings file that changes."""

import pathlib

from verbenadrum.settings import watch


def test_each_change_is_reported_once(tmp_path: pathlib.Path):
    path = tmp_path / "host.toml"
    path.write_text("one")
    watched = watch.SettingsWatch(path=path)
    assert not watched.changed()
    path.write_text("two and more")
    assert [watched.changed(), watched.changed()] == [True, False]


def test_file_that_is_replaced_is_no_change_while_it_is_missing(tmp_path: pathlib.Path):
    path = tmp_path / "host.toml"
    path.write_text("one")
    watched = watch.SettingsWatch(path=path)
    path.unlink()
    assert not watched.changed()
    path.write_text("three")
    assert watched.changed()
