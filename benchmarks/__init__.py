"""Measurements; nothing here is a test."""
