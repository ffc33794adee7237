"""Request scheduler for unlike LLM engines and plain services.

It answers for the outcome of every request; see docs/DESIGN.md.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
