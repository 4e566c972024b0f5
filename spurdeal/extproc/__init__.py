"""The external processor (Envoy's ext_proc): proxies ask where and when to send each request."""
