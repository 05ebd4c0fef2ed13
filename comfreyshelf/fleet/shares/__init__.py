"""Fair shares of contested capacity between organisations."""
