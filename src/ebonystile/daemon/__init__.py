"""Run the cores as processes: sockets, threads and clocks."""
