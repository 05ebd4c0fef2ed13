"""Which runs stop so that their units move to other targets."""
