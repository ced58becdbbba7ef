"""Endpoint discovery: the endpoint list and the watch that keeps it current."""
