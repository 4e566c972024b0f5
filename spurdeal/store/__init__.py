"""Durable state: the ledger of requests that must run at most once."""
