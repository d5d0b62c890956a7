"""Runs the daemon: ``python -m verbenadrum.daemon``."""

from verbenadrum.daemon import main

main.run()
