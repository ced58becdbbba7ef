"""A seeded soak: real processes under crowds, floods and signals; each seed's plan can be replayed."""
