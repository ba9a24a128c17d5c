"""Measurements, and the demonstration of the whole path."""
