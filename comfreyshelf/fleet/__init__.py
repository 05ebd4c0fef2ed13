"""Jobs of steps on a fleet of targets, kept in the platform's store."""
