"""Scripted scenarios, each run against real processes."""
