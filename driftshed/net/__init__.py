"""The network: one event loop on `selectors`, and HTTP/1.1 over it. Code here handles sockets and bytes, knows nothing
of servers, tables or proxies, and makes no decisions. It may import only the standard library and `httptools`."""
