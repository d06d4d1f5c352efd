"""Run the decision cores: sockets, threads and clocks around them."""
