"""A dispatcher's address taken over by VRRP version 3 over UDP, with handover and tenure between
dispatchers."""
