"""Runs the daemon as ``python -m verbenadrum.daemon``."""

from verbenadrum.daemon import main

main.run()
