"""spurdeal: a query gateway that decides what runs, on which engine, when, and with how much memory."""
