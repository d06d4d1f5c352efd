"""Parse command lines and start the programs."""
