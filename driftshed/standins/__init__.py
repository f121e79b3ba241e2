"""Stand-ins for what the users have of their own: servers, a roster that tells late, clients. They meet
the supervisor and one another through sockets alone, and each runs on the loop it is given. They may import
`driftshed.net` and, of the core, what reads the API (`messages`, `holding`)."""
