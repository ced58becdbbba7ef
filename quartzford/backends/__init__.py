"""Who answers."""
