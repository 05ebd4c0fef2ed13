"""A randomized soak: real processes on loopback, faults from outside, checks by what others see."""
