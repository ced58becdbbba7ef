"""A relay watches one list service and serves the list to balancers that watch the relay. docs/relay.md"""
