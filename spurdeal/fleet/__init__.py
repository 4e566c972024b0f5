"""A fleet of dispatchers: who is in it, who acts on which versions, and what one that is behind may do."""
