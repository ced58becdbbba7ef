"""Who the servers are: the list and its watch."""
