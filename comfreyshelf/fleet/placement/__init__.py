"""Where units start: candidate targets, what fits, and which choice ends the work in time."""
