"""Stand-ins for the platform of `driftshed.node`: discovery, relay, collectors, proxies and servers, which play
restarts, broken streams and reloads against supervisors and judge each send at the servers."""
