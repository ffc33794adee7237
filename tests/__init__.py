"""Behave features that mirror the package, and what CI reads from them."""
