"""A dispatcher's address taken over by VRRP version 3 over UDP.

Between dispatchers, handover and tenure see that nothing runs twice and no budget is used twice.
"""
