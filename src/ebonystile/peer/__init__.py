"""Communication with the system's other processes: sealed datagrams and bulk exchanges."""
