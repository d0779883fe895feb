"""Build and check of the single-file binary."""
