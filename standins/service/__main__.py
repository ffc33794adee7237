"""Runs one plain service stand-in, or all of a file, as a process.

It prints one line for each worker that is ready and ends at SIGTERM or SIGINT.
"""

from standins.service.options import options_from_arguments
from standins.service.running import start_service
from standins.serving import run_endpoints

if __name__ == "__main__":
    run_endpoints(start_service(options) for options in options_from_arguments())
