"""Runs one engine stand-in, or all of a file, as a process.

It prints one line for each engine that is ready and ends at SIGTERM or SIGINT.
"""

from standins.engine.options import options_from_arguments
from standins.engine.running import start_engine
from standins.serving import run_endpoints

if __name__ == "__main__":
    run_endpoints(start_engine(options) for options in options_from_arguments())
