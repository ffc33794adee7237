"""Random disturbances of real VMs, and of what endpoints say in their answers.

The same seed draws the same series. Callers use kept connections until the process is
gone; what reached the endpoints is checked against the rules at the end.
"""
