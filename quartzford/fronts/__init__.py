"""Who asks."""
