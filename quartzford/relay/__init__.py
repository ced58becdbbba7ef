"""A relay: follows one list service, and tells its list to the balancers that watch here. docs/relay.md"""
