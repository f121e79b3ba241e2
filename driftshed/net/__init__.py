"""The network: one event loop on `selectors` and HTTP/1.1 over it. It knows sockets and bytes, and nothing of servers,
tables or proxies; it decides nothing. It may import the standard library and `httptools` alone."""
