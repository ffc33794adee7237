"""Random faults under a random load, with all promises checked at the end.

The same seed draws the same schedule of faults and calls.
"""
