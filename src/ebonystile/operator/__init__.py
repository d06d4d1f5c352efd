"""Query the system's processes for operators, and format the answers."""
