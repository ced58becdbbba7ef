"""A relay: follows one list service and serves its list to the balancers that watch here. docs/relay.md"""
