"""The configuration, the membership, and their distribution among the processes."""
