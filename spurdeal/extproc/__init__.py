"""An external processor: other proxies ask per request, and the same decisions answer with a place."""
