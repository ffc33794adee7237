"""Small stand-ins for the systems around pomelolane, each its own process.

They take the place of engines, plain services, the platform and the network
in tests, benchmarks and the demo.
"""
