"""Stand-ins, processes and records for the scripts of the review; standard library only."""
