"""Failover of a dispatcher's addresses by VRRP version 3 (RFC 9568), carried over UDP.

Peers replicate which non-idempotent requests may have run, so that none runs twice across a failover
(`handover`), and lend each other their shares of cold engines' budgets, so that no budget is overused
(`budget_shares`).
"""
