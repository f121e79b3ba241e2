"""Stand-ins for the users' own systems: servers, a delayed roster, clients. They communicate with the supervisor and
with each other only through sockets, and each runs on the loop that it is given. They may import `driftshed.net` and,
of the core, the modules that read the API (`messages`, `proxy_state`)."""
