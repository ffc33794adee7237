"""Load and experiment tool: drives real processes over the stand-ins.

It compares policies within one run and draws what it measured.
"""
