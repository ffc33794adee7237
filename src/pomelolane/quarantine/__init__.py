"""Keeps requests that end endpoints away from them."""

from pomelolane.quarantine.fingerprint import fingerprint_from_request

__all__ = ["fingerprint_from_request"]
